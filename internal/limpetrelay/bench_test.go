package limpetrelay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetstore"
)

// BenchmarkFollow measures what one VM costs that follows a director, for a configuration
// of a number of routes and for a small change.
func BenchmarkFollow(b *testing.B) {
	for _, routes := range []int{0, 20, 1400} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			var config []map[string]any
			for n := range routes {
				config = append(config, map[string]any{"name": fmt.Sprint("route", n*7919), "host": fmt.Sprintf("h%d.example", n%40), "path": fmt.Sprintf("/lohu%d/", n*31), "timeoutMs": 2000, "goalMs": 150, "kind": "idempotent", "targets": []any{map[string]any{"service": "gopu72b", "weight": 1}}})
			}
			data, _ := json.Marshal(config)
			m := limpetrelay.NewMirror("a", time.Now)
			m.MarkConfirmed(time.Now())
			m.Apply(limpetrelay.Changes("cfg/", []limpetrelay.Value{{Value: limpetstore.Value{Key: "cfg/config", Data: data, Revision: 1}}}))
			h := &limpetrelay.Handlers{Mirror: m, OnFollower: func(limpetrelay.Follower) {}, IsDirector: func() bool { return true }, Permit: func(limpetlimit.Request) (limpetlimit.Grant, bool) { return limpetlimit.Grant{}, true }}
			s := httptest.NewServer(h.Handler())
			defer s.Close()
			c := limpetrelay.NewClient(limpetrelay.NewHTTPClient(), s.Listener.Addr().String(), limpetrelay.Follower{VM: "x", Ready: "r"})
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, _, err := c.Follow(context.Background(), "", 0, 0, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
