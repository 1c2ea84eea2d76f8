package limpetrollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"limpetmount.org/internal/limpeterror"
)

// An Operation names a trainer's call.
type Operation string

// The trainers' calls.
const (
	OpSession Operation = "session"
	OpStep    Operation = "step"
	OpWeights Operation = "weights"
	OpFetch   Operation = "fetch"
	OpCancel  Operation = "cancel"
	OpStatus  Operation = "status"
)

// A Group holds a prompt and how many samples are wanted of it.
type Group struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// A Spec holds a step as a trainer creates it.
type Spec struct {
	Step      uint64  `json:"step"`
	Session   uint64  `json:"session"`
	MaxTokens int     `json:"max_tokens"`
	Groups    []Group `json:"groups"`
}

// Limits of a step.
const (
	largestStep   = 1 << 16
	largestTokens = 1 << 20
)

// Check returns all findings about a spec.
func (s Spec) Check() error {
	f := &limpeterror.Findings{}
	if s.Step == 0 {
		f.Add("step", "must be at least 1")
	}
	if s.MaxTokens < 1 || s.MaxTokens > largestTokens {
		f.Add("max_tokens", "must be 1 to %d", largestTokens)
	}
	if len(s.Groups) == 0 {
		f.Add("groups", "must not be empty")
	}
	for i, g := range s.Groups {
		if g.Samples < 1 || g.Samples > largestStep || g.Prompt == "" {
			f.Add("groups["+strconv.Itoa(i)+"]", "needs a prompt and 1 to %d samples", largestStep)
		}
	}
	if len(f.List) == 0 && s.Samples() > largestStep {
		f.Add("groups", "more than %d samples", largestStep)
	}
	return f.Err()
}

// Samples returns the number of samples of all groups.
func (s Spec) Samples() int {
	n := 0
	for _, g := range s.Groups {
		n += g.Samples
	}
	return n
}

// Locate returns the group and the index within it of a sample number.
func (s Spec) Locate(number int) (group, index int) {
	for g := range s.Groups {
		if number < s.Groups[g].Samples {
			return g, number
		}
		number -= s.Groups[g].Samples
	}
	return -1, -1
}

// Encode returns the spec's prompts for the store and their digest.
func (s Spec) Encode() (data []byte, digest string, err error) {
	s.Session = 0
	if data, err = json.Marshal(s); err != nil {
		return nil, "", limpeterror.Invalid.Wrap(err, "step %d", s.Step)
	}
	sum := sha256.Sum256(data)
	return data, hex.EncodeToString(sum[:16]), nil
}

// A Sample holds one finished sample as a trainer gets it.
type Sample struct {
	Step     uint64   `json:"step"`
	Group    int      `json:"group"`
	Index    int      `json:"index"`
	Text     string   `json:"text"`
	Tokens   int      `json:"tokens"`
	Score    *float64 `json:"score,omitempty"`
	Versions []Range  `json:"versions"`
	Attempt  string   `json:"attempt"`
}

// A SessionRequest opens a trainer session. Trainer identifies the process.
type SessionRequest struct {
	Trainer string `json:"trainer"`
}

// A SessionReply holds where the session goes on.
type SessionReply struct {
	Session   uint64 `json:"session"`
	Cursor    uint64 `json:"cursor"`
	Published uint64 `json:"published"`
}

// A WeightsRequest publishes a version.
type WeightsRequest struct {
	Session uint64 `json:"session"`
	Version uint64 `json:"version"`
}

// A CancelRequest ends a step.
type CancelRequest struct {
	Session uint64 `json:"session"`
	Step    uint64 `json:"step"`
}

// A FetchRequest asks for the batch of a cursor. The fetch of a cursor
// acknowledges the one before it.
type FetchRequest struct {
	Session    uint64 `json:"session"`
	Cursor     uint64 `json:"cursor"`
	Max        int    `json:"max"`
	WaitMillis int64  `json:"wait_ms"`
}

// A FetchReply holds a batch. With Pending set the batch is not ready: ask for
// the same cursor again; nothing was acknowledged. Done means that no step is
// open.
type FetchReply struct {
	Cursor    uint64   `json:"cursor"`
	Published uint64   `json:"published"`
	Samples   []Sample `json:"samples"`
	Pending   bool     `json:"pending"`
	Done      bool     `json:"done"`
}

// A Status holds a job's progress.
type Status struct {
	Session   uint64 `json:"session"`
	Cursor    uint64 `json:"cursor"`
	Published uint64 `json:"published"`
	Steps     int    `json:"steps"`
	Left      int    `json:"left"`
	Running   int    `json:"running"`
	Ready     int    `json:"ready"`
	Discarded int    `json:"discarded"`
}
