package limpetengine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
)

// Guards against a request that counts as refused for good because an engine in trouble
// answered without a valid status.
func TestStreamsNeedAStatus(t *testing.T) {
	for _, status := range []string{"000", "101", "600"} {
		Convey("a request that was answered with status "+status+" may have run", t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				// The client may have gone.
				_, _ = conn.Write([]byte("HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\nok"))
				_ = conn.Close()
			}))
			t.Cleanup(server.Close)
			err := limpetengine.NewHTTP().Stream(context.Background(), server.Listener.Addr().String(), "/p", []byte("{}"), func([]byte) error { return nil })
			So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
		})
	}
}
