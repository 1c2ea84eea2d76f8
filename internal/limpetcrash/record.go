package limpetcrash

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetstore"
)

// Prefix is the prefix of the store's keys of crash records. A key names the
// request and the server, so that the record of a crash is the same whichever
// VM writes it, and however often.
const Prefix = "crash/"

// A Record is the record of one crash, or of one trial of a quarantined request,
// in the store.
type Record struct {
	limpetquarantine.Crash
	// Trial is the number of the trial, from 1 on; 0 for a crash.
	Trial int
	// At is when the VM that wrote the record confirmed the crash, or began the
	// trial.
	At time.Time
	// VM is the name of that VM, and Request the ID of the attempt.
	VM, Request string
}

// trialPrefix takes the place of the server in the key of a trial, before its
// number. A server's name has no slash.
const trialPrefix = "trial/"

func trialServer(number int) string { return trialPrefix + strconv.Itoa(number) }

// Key returns the key of a record.
func Key(fingerprint uint64, server string) string {
	return Prefix + limpetquarantine.Name(fingerprint) + "/" + server
}

type recordDocument struct {
	Account string `json:"account"`
	At      int64  `json:"at"`
	Partial bool   `json:"partial,omitempty"`
	VM      string `json:"vm"`
	Request string `json:"request"`
}

func (r Record) encode() []byte {
	// Encoding cannot fail for this type.
	data, _ := json.Marshal(recordDocument{Account: r.Account, At: r.At.UnixMilli(), Partial: r.Partial, VM: r.VM, Request: r.Request})
	return data
}

// Decode decodes a record. The error has type Invalid.
func Decode(v limpetstore.Value) (Record, error) {
	name, server, _ := strings.Cut(strings.TrimPrefix(v.Key, Prefix), "/")
	fingerprint, err := limpetquarantine.ParseName(name)
	if err != nil {
		return Record{}, err
	}
	r := Record{Crash: limpetquarantine.Crash{Fingerprint: fingerprint, Server: server}}
	if number, ok := strings.CutPrefix(server, trialPrefix); ok {
		if r.Trial, err = strconv.Atoi(number); err != nil || r.Trial < 1 {
			return Record{}, limpeterror.Invalid.New("key %s: the number of a trial is invalid", v.Key)
		}
	}
	if v.Deleted {
		return r, nil
	}
	var d recordDocument
	if err := json.Unmarshal(v.Data, &d); err != nil {
		return Record{}, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	r.Account, r.At, r.Partial, r.VM, r.Request = d.Account, time.UnixMilli(d.At), d.Partial, d.VM, d.Request
	return r, nil
}
