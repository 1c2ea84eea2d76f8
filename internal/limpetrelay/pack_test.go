package limpetrelay

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetwire"
)

// repetitive is a value that becomes much smaller, as a configuration of many routes
// does.
var repetitive = []byte(strings.Repeat(`{"name":"route","host":"h.example","timeoutMs":2000}`, 4000))

func TestLargeValuesArePacked(t *testing.T) {
	m := NewMirror("a", time.Now)
	small := []byte("small")
	m.Apply(Changes("cfg/", []Value{
		{Value: limpetstore.Value{Key: "cfg/config", Data: repetitive, Revision: 1}}, {Value: limpetstore.Value{Key: "cfg/x", Data: small, Revision: 2}},
	}))
	h := &Handlers{Mirror: m, OnFollower: func(Follower) {}, IsDirector: func() bool { return true }}
	s := httptest.NewServer(h.Handler())
	t.Cleanup(s.Close)
	Convey("a VM gets the values as they are", t, func() {
		u, _, err := NewClient(NewHTTPClient(), s.Listener.Addr().String(), Follower{VM: "x"}).Follow(context.Background(), "", 0, 0, nil)
		So(err, ShouldBeNil)
		values := map[string]string{}
		for _, c := range u.Changes {
			values[c.Value.Key] = string(c.Value.Data)
		}
		So(values, ShouldResemble, map[string]string{"cfg/config": string(repetitive), "cfg/x": "small"})
	})
	follow := func(unpacks bool) map[string]*limpetwire.RelayedValue {
		r, err := limpetwire.NewRelayClient(s.Client(), s.URL).Follow(context.Background(), connect.NewRequest(&limpetwire.FollowRequest{Unpacks: unpacks}))
		if err != nil {
			t.Fatal(err)
		}
		values := map[string]*limpetwire.RelayedValue{}
		for _, v := range r.Msg.Values {
			values[v.Key] = v
		}
		return values
	}
	Convey("a large value goes packed to VMs that say that they unpack it, and as it is to those of earlier releases", t, func() {
		packed, plain := follow(true)["cfg/config"], follow(false)["cfg/config"]
		So(packed.Data, ShouldBeEmpty)
		So(len(packed.Packed), ShouldBeLessThan, len(repetitive)/10)
		So(plain.Data, ShouldResemble, repetitive)
		So(plain.Packed, ShouldBeEmpty)
		So(follow(true)["cfg/x"].Data, ShouldResemble, small)
	})
	Convey("it is packed when it changes, not for each VM", t, func() {
		first, second := m.Since(context.Background(), "", 0, 0), m.Since(context.Background(), "", 0, 0)
		find := func(u Update) *byte {
			for _, c := range u.Changes {
				if c.packed != nil {
					return &c.packed[0]
				}
			}
			return nil
		}
		So(find(first), ShouldNotBeNil)
		So(find(first) == find(second), ShouldBeTrue)
	})
}

func TestUnusablePackedData(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	for range maxUnpacked>>20 + 1 {
		_, _ = w.Write(make([]byte, 1<<20))
	}
	_ = w.Close()
	for name, data := range map[string][]byte{"no gzip data": []byte("x"), "cut off": pack(repetitive)[:40], "too large": bomb.Bytes()} {
		Convey("packed data is refused with an error: "+name, t, func() {
			_, err := unpack(data)
			So(limpeterror.Is(err, limpeterror.Invalid), ShouldBeTrue)
		})
	}
}
