package limpethost

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

func TestOtherVMsGetTheEntriesThatTheyUse(t *testing.T) {
	Convey("other VMs get the servers that their requests go to, at once after a change of the routes", t, func() {
		mirror, r := limpetrelay.NewMirror("m", time.Now), relevance{}
		apply := func(v limpetstore.Value, record limpetsite.Record) {
			record.Revision = v.Revision
			mirror.Apply(r.changes([]limpetstore.Value{v}, []limpetsite.Record{record}, func(values []limpetrelay.Value) limpetrelay.Apply {
				return limpetrelay.Changes("f/", values)
			})...)
		}
		server := func(id, service string, revision uint64) {
			apply(limpetstore.Value{Key: id, Revision: revision}, limpetsite.Record{Server: &limpetsite.Server{ID: id, Service: service}})
		}
		config := func(revision uint64, plain ...string) {
			c := &limpetsite.Config{Routes: []limpetsite.Route{{Kind: limpetsite.Rollout, Targets: []limpetsite.Target{{Service: "llm"}}}}}
			for _, service := range plain {
				c.Routes = append(c.Routes, limpetsite.Route{Kind: limpetsite.Idempotent, Targets: []limpetsite.Target{{Service: service}}})
			}
			apply(limpetstore.Value{Key: "config", Revision: revision}, limpetsite.Record{Config: c})
		}
		keys := func() []string {
			var all []string
			for _, c := range mirror.Since(context.Background(), "", 0, 0).Changes {
				all = append(all, c.Value.Key)
			}
			slices.Sort(all)
			return all
		}
		server("d", "desk", 1)
		server("e", "llm", 2)
		So(keys(), ShouldResemble, []string{"d", "e"})
		config(3, "desk")
		So(keys(), ShouldResemble, []string{"config", "d"})
		config(5, "desk", "llm")
		So(keys(), ShouldResemble, []string{"config", "d", "e"})
		config(4, "desk")
		So(keys(), ShouldResemble, []string{"config", "d", "e"})
	})
}
