package limpethttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

// Guards against a call that counts as done although the answer's status is none: 000
// was below all statuses of errors.
func TestCallsNeedAStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		// The client may have gone.
		_, _ = conn.Write([]byte("HTTP/1.1 " + r.URL.Path[1:] + " x\r\nContent-Length: 2\r\n\r\n{}"))
	}))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: limpethttp.NewTransport(1)}
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		Convey("the effect of a call with status "+status+" is unknown, and a query brought nothing", t, func() {
			err := limpethttp.Call(context.Background(), client, http.MethodPost, server.URL+"/"+status, nil, nil)
			So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
			err = limpethttp.Call(context.Background(), client, http.MethodGet, server.URL+"/"+status, nil, nil)
			So(limpeterror.Is(err, limpeterror.Unavailable), ShouldBeTrue)
		})
	}
	Convey("a call with a status of success is done", t, func() {
		So(limpethttp.Call(context.Background(), client, http.MethodPost, server.URL+"/202", nil, nil), ShouldBeNil)
	})
}
