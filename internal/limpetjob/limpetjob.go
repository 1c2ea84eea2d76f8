// Package limpetjob stores batch jobs in the platform's store. One transaction
// accepts a job, its results are appended in immutable chunks, and a marker key
// ends it. Any VM can accept, read and end any job. The package does not decide
// which VM runs the items.
package limpetjob

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// Key prefixes in the store.
const (
	// OpenPrefix precedes the keys of the Summary of each accepted job.
	OpenPrefix = "open/"
	// EndPrefix precedes the keys of the markers of jobs that their trainer
	// ended.
	EndPrefix    = "end/"
	partPrefix   = "job/"
	resultPrefix = "res/"
)

// A Scorer describes the reward call of an item.
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
	// ExpectedTokens is the caller's estimate of the output, in tokens; 0 if it
	// gave none.
	ExpectedTokens int `json:"expected,omitempty"`
	// MaxTokens is the maximum output, in tokens; 0 if not specified.
	MaxTokens int `json:"most,omitempty"`
}

// A Job is a batch of items that a trainer submits for a training step.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Host    string `json:"host"`
	// Path is the URL path of the submission. It selects the route.
	Path string `json:"path"`
	Step int    `json:"step"`
	// Model is empty if the caller named none. Any engine of the route's services serves
	// such a job.
	Model string `json:"model"`
	// MinVersion is the oldest weight version that may generate its texts.
	MinVersion int `json:"min"`
	// DesiredGroups is the number of groups that the trainer waits for.
	DesiredGroups int       `json:"desired"`
	Arrived       time.Time `json:"arrived"`
	Items         []Item    `json:"items"`
}

// A Summary is the part of a job that every VM needs. Total is the number of its
// items, Parts the number of values in which the job is stored.
type Summary struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Total   int       `json:"total"`
	Parts   int       `json:"parts"`
	Arrived time.Time `json:"arrived"`
	// Revision is the store's revision of the acceptance. It is known of decoded
	// summaries.
	Revision uint64 `json:"-"`
}

// A State is the final state of an item.
type State string

// The states of a Result.
const (
	Completed State = "completed"
	Errored   State = "errored"
)

// A Result is the result of an item. Once stored, its position among the
// results of its job never changes.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
	// Versions holds the weight versions that generated the text.
	Versions []int `json:"versions,omitempty"`
	// Score is the signature of the response to the reward call; empty if the
	// item has none.
	Score string `json:"score,omitempty"`
}

// A Chunk holds results at consecutive positions of a job, from position First
// on.
type Chunk struct {
	First   int      `json:"first"`
	Results []Result `json:"results"`
}

const (
	// MaxTextBytes bounds the memory that the text of an item takes, as EventBytes
	// counts it: an engine in trouble may send events without end.
	MaxTextBytes = 8 << 20
	// eventOverhead is the memory of an event beside its data, in bytes: the
	// string's header and the rest of its allocation.
	eventOverhead = 48
)

// EventBytes returns the memory that an event with the given data takes in a text.
func EventBytes(data string) int { return len(data) + eventOverhead }

// maxPartBytes bounds each value of a stored job. It is below the store's limit
// for a value.
const maxPartBytes = 600 << 10

func summaryKey(id string) string { return OpenPrefix + id }

// EndKey returns the key of the marker that a job has ended.
func EndKey(id string) string { return EndPrefix + id }

func partKey(id string, n int) string { return fmt.Sprintf("%s%s/%02d", partPrefix, id, n) }

// ResultPrefix returns the prefix of a job's chunks.
func ResultPrefix(id string) string { return resultPrefix + id + "/" }

// ChunkKey returns the key of the chunk whose first result has the given
// position.
func ChunkKey(id string, first int) string { return fmt.Sprintf("%s%08d", ResultPrefix(id), first) }

// validID reports whether a job ID can be part of a key without reaching into
// the keys of other jobs.
func validID(id string) bool {
	return id != "" && len(id) <= 128 && !strings.ContainsAny(id, "/ \t\r\n") && utf8.ValidString(id)
}

// maxFindings bounds the findings that Validate lists: a job may have a million items.
const maxFindings = 20

// Validate validates a job before it is accepted. Its error lists the first findings.
func (j *Job) Validate() error {
	var f limpeterror.Findings
	if !validID(j.ID) {
		f.Add("id", "missing, too long, not UTF-8, or with separators")
	}
	if len(j.Items) == 0 {
		f.Add("items", "none")
	}
	seen := map[string]bool{}
	for n, i := range j.Items {
		if len(f.List) >= maxFindings {
			f.Add("items", "further findings are left out")
			break
		}
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

// encode returns the stored form of a job, split into parts.
func (j *Job) encode() ([][]byte, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "job %s", j.ID)
	}
	var parts [][]byte
	for len(data) > maxPartBytes {
		parts = append(parts, data[:maxPartBytes])
		data = data[maxPartBytes:]
	}
	return append(parts, data), nil
}

// acceptTransaction returns the transaction that accepts a job, if its ID is
// not in the store yet.
func (j *Job) acceptTransaction() (limpetstore.Transaction, error) {
	parts, err := j.encode()
	if err != nil {
		return limpetstore.Transaction{}, err
	}
	if len(parts)+2 > limpetstore.MaxTransactionEntries {
		return limpetstore.Transaction{}, limpeterror.Invalid.New("job %s is too large", j.ID)
	}
	summary, err := json.Marshal(Summary{ID: j.ID, Account: j.Account, Total: len(j.Items), Parts: len(parts), Arrived: j.Arrived})
	if err != nil {
		return limpetstore.Transaction{}, limpeterror.Invalid.Wrap(err, "job %s", j.ID)
	}
	t := limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: summaryKey(j.ID)}},
		Writes: []limpetstore.Write{{Key: summaryKey(j.ID), Data: summary}},
	}
	for n, p := range parts {
		t.Writes = append(t.Writes, limpetstore.Write{Key: partKey(j.ID, n), Data: p})
	}
	return t, nil
}

// DecodeSummary decodes a value whose key has the prefix OpenPrefix. The error
// has type Invalid.
func DecodeSummary(v limpetstore.Value) (Summary, error) {
	var s Summary
	if err := json.Unmarshal(v.Data, &s); err != nil {
		return s, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	s.Revision = v.Revision
	return s, nil
}

// DecodeChunk decodes a value whose key has a prefix from ResultPrefix. The error
// has type Invalid.
func DecodeChunk(v limpetstore.Value) (Chunk, error) {
	var c Chunk
	data, err := unpack(v.Data)
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil {
		return c, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	return c, nil
}

// Encode returns the stored form of a chunk, which is packed if the store would not
// take it otherwise.
func (c Chunk) Encode() []byte { return pack(encodeValue(c)) }
