package limpetforward_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetsite"
)

// Guards against requests of a split route that are refused because one of its services
// has no server, although another one has.
func TestSplitRoutesSkipServicesWithoutServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 40
		f := newFixture(limpetsite.Once, repliesWith(http.StatusOK))
		served := 0
		for range requests {
			if a := f.Forward(context.Background(), request("/s/x", "")); a.Reason == limpetforward.Served {
				served++
			}
			_, _ = f.ForwardInternal(context.Background(), request("/s/x", ""))
		}
		calls, _, _ := f.recorded()
		Convey("all requests are served, those of the system too", t, func() {
			So(served, ShouldEqual, requests)
			So(len(calls), ShouldEqual, 2*requests)
		})
	})
}
