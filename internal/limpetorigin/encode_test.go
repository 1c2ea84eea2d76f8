package limpetorigin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

// decodeEarlier reads a value as the releases before senders were stored do.
func decodeEarlier(data []byte) (map[Stream]limpetsite.Software, error) {
	var value map[limpetsite.Software][]byte
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, err
	}
	records := map[Stream]limpetsite.Software{}
	for software, streams := range value {
		for ; len(streams) >= 8; streams = streams[8:] {
			records[Stream(binary.BigEndian.Uint64(streams))] = software
		}
	}
	return records, nil
}

func TestStoredRecords(t *testing.T) {
	began := time.UnixMilli(1_700_000_000_123)
	var records []Record
	for n := range 60 {
		r := Record{Stream: StreamOf("acme", fmt.Sprint(n)), Software: limpetsite.SoftwareOf("chat", fmt.Sprintf("v%d", n%2))}
		if n%5 != 0 {
			r.Sender = Sender{Server: fmt.Sprintf("s%d", n%4), Incarnation: int64(1000 + n%3), Began: began.Add(time.Duration(n) * time.Millisecond)}
		}
		records = append(records, r)
	}
	data := encode(append([]Record(nil), records...))
	b := &Book{Deps: Deps{Log: limpetlog.Discard()}}
	Convey("a value holds each record with its sender", t, func() {
		read := map[Stream]Record{}
		for _, r := range b.decode(limpetstore.Value{Data: data}) {
			read[r.Stream] = r
		}
		So(len(read), ShouldEqual, len(records))
		for _, r := range records {
			So(read[r.Stream], ShouldResemble, r)
		}
	})
	Convey("earlier releases find the software of each stream", t, func() {
		read, err := decodeEarlier(data)
		So(err, ShouldBeNil)
		for _, r := range records {
			So(read[r.Stream], ShouldEqual, r.Software)
		}
	})
	Convey("a value of an earlier release has records that are in no doubt", t, func() {
		stream := StreamOf("acme", "x")
		earlier, err := json.Marshal(map[limpetsite.Software][]byte{"chat/v1": binary.BigEndian.AppendUint64(nil, uint64(stream))})
		So(err, ShouldBeNil)
		So(b.decode(limpetstore.Value{Data: earlier}), ShouldResemble, []Record{{Stream: stream, Software: "chat/v1"}})
	})
	Convey("a value that cannot be decoded holds no records", t, func() {
		for _, bad := range []string{"", "[]", `{"chat/v1":"AAAA"`, `{"":"bm8ganNvbg=="}`} {
			So(b.decode(limpetstore.Value{Data: []byte(bad)}), ShouldBeEmpty)
		}
		So(b.decode(limpetstore.Value{Data: []byte(`{"chat/v1":"AAAA"}`)}), ShouldBeEmpty)
	})
}
