package limpetorigin

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

// A storedValue holds the records of one write: the identities of streams, of 8 bytes
// each, by the software that began them. Under sendersKey it holds the senders of the
// first of them. Earlier releases read that as the identities of streams that nobody
// asks for.
type storedValue map[limpetsite.Software][]byte

// sendersKey is no name of any software.
const sendersKey limpetsite.Software = ""

// identityBytes is the size of the identity of a stream.
const identityBytes = 8

// storedSenders holds the senders of a value by software: each applies to the next
// streams, one for each time.
type storedSenders map[limpetsite.Software][]storedSender

type storedSender struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	// Began is in Unix milliseconds.
	Began []int64 `json:"began"`
}

// encode returns the value of records.
func encode(records []Record) []byte {
	// Records without a sender come last.
	slices.SortStableFunc(records, func(a, b Record) int {
		if (a.Sender.Server == "") != (b.Sender.Server == "") {
			return strings.Compare(b.Sender.Server, a.Sender.Server)
		}
		return strings.Compare(a.Sender.Server, b.Sender.Server)
	})
	value, senders := storedValue{}, storedSenders{}
	for _, r := range records {
		value[r.Software] = binary.BigEndian.AppendUint64(value[r.Software], uint64(r.Stream))
		if r.Sender.Server == "" {
			continue
		}
		of := senders[r.Software]
		if n := len(of) - 1; n < 0 || of[n].Server != r.Sender.Server || of[n].Incarnation != r.Sender.Incarnation {
			of = append(of, storedSender{Server: r.Sender.Server, Incarnation: r.Sender.Incarnation})
		}
		last := &of[len(of)-1]
		last.Began = append(last.Began, r.Sender.Began.UnixMilli())
		senders[r.Software] = of
	}
	// Encoding cannot fail for these types.
	if len(senders) > 0 {
		value[sendersKey], _ = json.Marshal(senders)
	}
	data, _ := json.Marshal(value)
	return data
}

// decode returns the records of a value; none if it cannot be decoded.
func (b *Book) decode(v limpetstore.Value) []Record {
	var value storedValue
	var senders storedSenders
	err := json.Unmarshal(v.Data, &value)
	if err == nil && value[sendersKey] != nil {
		err = json.Unmarshal(value[sendersKey], &senders)
	}
	if err != nil {
		b.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
		return nil
	}
	var records []Record
	for software, streams := range value {
		if software == sendersKey {
			continue
		}
		first := len(records)
		for ; len(streams) >= identityBytes; streams = streams[identityBytes:] {
			records = append(records, Record{Stream: Stream(binary.BigEndian.Uint64(streams)), Software: software})
		}
		setSenders(records[first:], senders[software])
	}
	return records
}

// setSenders sets the senders of the first records.
func setSenders(records []Record, senders []storedSender) {
	n := 0
	for _, s := range senders {
		for _, began := range s.Began {
			if n == len(records) {
				return
			}
			records[n].Sender = Sender{Server: s.Server, Incarnation: s.Incarnation, Began: time.UnixMilli(began)}
			n++
		}
	}
}
