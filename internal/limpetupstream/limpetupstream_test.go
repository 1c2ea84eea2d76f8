package limpetupstream_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetupstream"
)

func TestProvesRun(t *testing.T) {
	signed := func(status int) limpetupstream.Reply { return limpetupstream.Reply{Status: status, Signature: "s"} }
	for _, c := range []struct {
		name  string
		reply limpetupstream.Reply
		want  bool
	}{
		{"a success", signed(200), true},
		{"a redirect", signed(303), true},
		{"a request that the server rejects as the caller's fault", signed(404), true},
		{"a success without the server's signature", limpetupstream.Reply{Status: 200}, false},
		{"a failure of the server", signed(500), false},
		{"a run that the server gave up at its deadline", signed(504), false},
		{"a refusal", limpetupstream.Reply{Status: 503, Signature: "s", NotRun: true}, false},
		{"a rejection of a request that was not run", limpetupstream.Reply{Status: 400, Signature: "s", NotRun: true}, false},
		{"a rate limit", signed(429), false},
		{"an address that belongs to another server", signed(421), false},
	} {
		Convey(c.name, t, func() { So(c.reply.ProvesRun(), ShouldEqual, c.want) })
	}
}
