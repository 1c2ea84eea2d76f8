package limpetrollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"limpetmount.org/internal/limpeterror"
)

// An Operation names a call of a trainer.
type Operation string

// The operations.
const (
	OpSession Operation = "session"
	OpStep    Operation = "step"
	OpWeights Operation = "weights"
	OpFetch   Operation = "fetch"
	OpCancel  Operation = "cancel"
	OpStatus  Operation = "status"
)

// A Group holds a prompt and the number of samples to generate for it.
type Group struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// A StepSpec is a trainer's request to create a step.
type StepSpec struct {
	Step      uint64  `json:"step"`
	Session   uint64  `json:"session"`
	MaxTokens int     `json:"max_tokens"`
	Groups    []Group `json:"groups"`
}

// Limits of a step.
const (
	maxStepSamples  = 1 << 16
	maxSampleTokens = 1 << 20
)

// Check validates a spec and returns all findings as one error.
func (s StepSpec) Check() error {
	f := &limpeterror.Findings{}
	if s.Step == 0 {
		f.Add("step", "must be at least 1")
	}
	if s.MaxTokens < 1 || s.MaxTokens > maxSampleTokens {
		f.Add("max_tokens", "must be 1 to %d", maxSampleTokens)
	}
	if len(s.Groups) == 0 {
		f.Add("groups", "must not be empty")
	}
	for i, g := range s.Groups {
		if g.Samples < 1 || g.Samples > maxStepSamples || g.Prompt == "" {
			f.Add("groups["+strconv.Itoa(i)+"]", "needs a prompt and 1 to %d samples", maxStepSamples)
		}
	}
	if len(f.List) == 0 && s.Samples() > maxStepSamples {
		f.Add("groups", "more than %d samples", maxStepSamples)
	}
	return f.Err()
}

// Samples returns the total number of samples of all groups.
func (s StepSpec) Samples() int {
	n := 0
	for _, g := range s.Groups {
		n += g.Samples
	}
	return n
}

// Locate returns the group of a sample number and the index within the group,
// or -1 for both if no group has that number.
func (s StepSpec) Locate(number int) (group, index int) {
	for g := range s.Groups {
		if number < s.Groups[g].Samples {
			return g, number
		}
		number -= s.Groups[g].Samples
	}
	return -1, -1
}

// Encode returns the encoded spec for the store, without the session, and its
// digest.
func (s StepSpec) Encode() (data []byte, digest string, err error) {
	s.Session = 0
	if data, err = json.Marshal(s); err != nil {
		return nil, "", limpeterror.Invalid.Wrap(err, "step %d", s.Step)
	}
	sum := sha256.Sum256(data)
	return data, hex.EncodeToString(sum[:16]), nil
}

// A Sample is a finished sample as delivered to a trainer.
type Sample struct {
	Step     uint64         `json:"step"`
	Group    int            `json:"group"`
	Index    int            `json:"index"`
	Text     string         `json:"text"`
	Tokens   int            `json:"tokens"`
	Score    *float64       `json:"score,omitempty"`
	Versions []VersionRange `json:"versions"`
	Attempt  string         `json:"attempt"`
}

// A SessionRequest opens a trainer session. Trainer identifies the process.
type SessionRequest struct {
	Trainer string `json:"trainer"`
}

// A SessionReply holds the state from which the session continues.
type SessionReply struct {
	Session   uint64 `json:"session"`
	Cursor    uint64 `json:"cursor"`
	Published uint64 `json:"published"`
}

// A WeightsRequest publishes a version of the weights.
type WeightsRequest struct {
	Session uint64 `json:"session"`
	Version uint64 `json:"version"`
}

// A CancelRequest cancels a step.
type CancelRequest struct {
	Session uint64 `json:"session"`
	Step    uint64 `json:"step"`
}

// A FetchRequest asks for the batch of a cursor. Fetching a cursor acknowledges
// the batch of the cursor before it.
type FetchRequest struct {
	Session    uint64 `json:"session"`
	Cursor     uint64 `json:"cursor"`
	Max        int    `json:"max"`
	WaitMillis int64  `json:"wait_ms"`
}

// A FetchReply holds a batch. If Pending is set, the batch is not ready and
// nothing was acknowledged; the trainer asks for the same cursor again. Done is
// set if no step has unacknowledged samples.
type FetchReply struct {
	Cursor    uint64   `json:"cursor"`
	Published uint64   `json:"published"`
	Samples   []Sample `json:"samples"`
	Pending   bool     `json:"pending"`
	Done      bool     `json:"done"`
}

// A Status holds a job's progress. Steps counts the steps that are not
// completed. Remaining, Running and Ready count samples: those still to be
// acknowledged, those being generated, and those finished but not acknowledged.
// Discarded counts the attempts and finished samples dropped since the runner
// started.
type Status struct {
	Session   uint64 `json:"session"`
	Cursor    uint64 `json:"cursor"`
	Published uint64 `json:"published"`
	Steps     int    `json:"steps"`
	Remaining int    `json:"left"`
	Running   int    `json:"running"`
	Ready     int    `json:"ready"`
	Discarded int    `json:"discarded"`
}
