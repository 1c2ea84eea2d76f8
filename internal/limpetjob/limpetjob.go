// Package limpetjob owns batch jobs as they stand in the platform's store: a
// job is accepted by one transaction, its results are appended in immutable
// chunks, and its end is a mark. Any VM can accept, read and end any job; which
// VM runs the items is not decided here.
package limpetjob

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// Prefixes of the store's keys.
const (
	// OpenPrefix holds a Summary for each accepted job.
	OpenPrefix = "open/"
	// EndPrefix holds a mark for each job that its trainer ended.
	EndPrefix    = "end/"
	bodyPrefix   = "job/"
	resultPrefix = "res/"
)

// A Scorer is the reward call of an item.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// An Item is one sample to be generated.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body"`
	Group  string            `json:"group"`
	Scorer *Scorer           `json:"scorer,omitempty"`
	// Expected is the caller's estimate of the output, in tokens; 0 for none.
	Expected int `json:"expected,omitempty"`
	// Most is the largest output, in tokens; 0 when not told.
	Most int `json:"most,omitempty"`
}

// A Job is a batch of items that a trainer submitted for a step.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Host    string `json:"host"`
	// Path is where it was submitted; it selects the route.
	Path  string `json:"path"`
	Step  int    `json:"step"`
	Model string `json:"model"`
	// MinVersion is the oldest weight version that may generate its tokens.
	MinVersion int `json:"min"`
	// Desired is the number of groups that the trainer waits for.
	Desired int       `json:"desired"`
	Arrived time.Time `json:"arrived"`
	Items   []Item    `json:"items"`
}

// A Summary is what all VMs need of a job.
type Summary struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Total   int       `json:"total"`
	Parts   int       `json:"parts"`
	Arrived time.Time `json:"arrived"`
}

// A State says how an item ended.
type State string

// The states of a result.
const (
	Completed State = "completed"
	Errored   State = "errored"
)

// A Result is a listed item. Its position in its job never changes.
type Result struct {
	ID       string `json:"id"`
	State    State  `json:"state"`
	Text     string `json:"text,omitempty"`
	Versions []int  `json:"versions,omitempty"`
	Score    string `json:"score,omitempty"`
}

// A Chunk holds results at consecutive positions of a job.
type Chunk struct {
	First   int      `json:"first"`
	Results []Result `json:"results"`
}

// partBytes bounds one value of a stored job, below the store's limit.
const partBytes = 600 << 10

func openKey(id string) string { return OpenPrefix + id }

// EndKey returns the key of a job's end mark.
func EndKey(id string) string { return EndPrefix + id }

func partKey(id string, n int) string { return fmt.Sprintf("%s%s/%02d", bodyPrefix, id, n) }

// ResultPrefix returns the prefix of a job's chunks.
func ResultPrefix(id string) string { return resultPrefix + id + "/" }

// ChunkKey returns the key of the chunk that begins at a position.
func ChunkKey(id string, first int) string { return fmt.Sprintf("%s%08d", ResultPrefix(id), first) }

// validID keeps job IDs from reaching into other keys.
func validID(id string) bool {
	return id != "" && len(id) <= 128 && !strings.ContainsAny(id, "/ \t\r\n")
}

// Check returns all findings about a job before it is accepted.
func (j *Job) Check() error {
	var f limpeterror.Findings
	if !validID(j.ID) {
		f.Add("id", "missing, too long, or with separators")
	}
	if len(j.Items) == 0 {
		f.Add("items", "none")
	}
	seen := map[string]bool{}
	for n, i := range j.Items {
		place := fmt.Sprintf("items[%d]", n)
		if i.ID == "" || seen[i.ID] {
			f.Add(place, "id %q is empty or repeated", i.ID)
		}
		seen[i.ID] = true
		if !strings.HasPrefix(i.Path, "/") {
			f.Add(place, "path %q does not begin with a slash", i.Path)
		}
	}
	return f.Err()
}

// encode splits a job into the values that are stored.
func (j *Job) encode() ([][]byte, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "job %s", j.ID)
	}
	var parts [][]byte
	for len(data) > partBytes {
		parts = append(parts, data[:partBytes])
		data = data[partBytes:]
	}
	return append(parts, data), nil
}

// acceptance returns the transaction that accepts a job.
func (j *Job) acceptance() (limpetstore.Transaction, error) {
	parts, err := j.encode()
	if err != nil {
		return limpetstore.Transaction{}, err
	}
	if len(parts)+2 > limpetstore.MaxEntries {
		return limpetstore.Transaction{}, limpeterror.Invalid.New("job %s is too large", j.ID)
	}
	summary, err := json.Marshal(Summary{ID: j.ID, Account: j.Account, Total: len(j.Items), Parts: len(parts), Arrived: j.Arrived})
	if err != nil {
		return limpetstore.Transaction{}, limpeterror.Invalid.Wrap(err, "job %s", j.ID)
	}
	t := limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: openKey(j.ID)}},
		Writes: []limpetstore.Write{{Key: openKey(j.ID), Data: summary}},
	}
	for n, p := range parts {
		t.Writes = append(t.Writes, limpetstore.Write{Key: partKey(j.ID, n), Data: p})
	}
	return t, nil
}

// DecodeSummary reads a value below OpenPrefix.
func DecodeSummary(v limpetstore.Value) (Summary, error) {
	var s Summary
	if err := json.Unmarshal(v.Data, &s); err != nil {
		return s, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	return s, nil
}

// DecodeChunk reads a value below ResultPrefix.
func DecodeChunk(v limpetstore.Value) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(v.Data, &c); err != nil {
		return c, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	return c, nil
}

// Encode returns the value that is stored of a chunk.
func (c Chunk) Encode() []byte {
	// Strings and integers always encode.
	data, _ := json.Marshal(c)
	return data
}
