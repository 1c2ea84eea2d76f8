package limpetjob

import (
	"context"
	"encoding/json"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

const draftPrefix = "draft/"

// DraftKey returns the key of a job's unfinished texts.
func DraftKey(id string) string { return draftPrefix + id }

// A Draft is the text so far of an item without a committed result. Another VM
// can continue where it ends.
type Draft struct {
	// Item is the ID of the item.
	Item string `json:"item"`
	// Pieces holds the text of each event.
	Pieces []string `json:"pieces"`
	// LastEvent is the ID of the last event; IDs count from 1.
	LastEvent int `json:"last"`
	// Versions holds all weight versions that generated the text, and Version
	// the one of the last event.
	Versions []int `json:"versions"`
	Version  int   `json:"version"`
	// Software is the software that generates the text from its first event on;
	// empty if that is not known.
	Software limpetsite.Software `json:"software,omitempty"`
	Complete bool                `json:"whole,omitempty"`
	// Failures is the number of responses with status 500 to the item's runs.
	Failures int `json:"failures,omitempty"`
	// RewardFailures is the number of its reward calls that failed.
	RewardFailures int `json:"reward_failures,omitempty"`
}

// EncodeDrafts returns the stored form of a job's drafts.
func EncodeDrafts(drafts []Draft) []byte { return encodeValue(drafts) }

// LoadDrafts returns the stored drafts of a job. It is not an error if there
// are none. The error has type Invalid if the drafts cannot be decoded.
func LoadDrafts(ctx context.Context, store limpetstore.Store, id string) ([]Draft, error) {
	v, err := store.Get(ctx, DraftKey(id))
	if limpeterror.Is(err, limpeterror.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var drafts []Draft
	if err := json.Unmarshal(v.Data, &drafts); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "drafts of job %s", id)
	}
	return drafts, nil
}
