package limpethttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpettask"
)

// endOfConnection sends a request to a server that reads it, sends part of an
// answer and then nothing, cancels the request, and returns the error that the
// server's next read gets.
func endOfConnection(t *testing.T, transport *http.Transport, part string) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	group := limpettask.New(context.Background())
	group.Go(func(context.Context) error {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return nil
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		request, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			ended <- err
			return nil
		}
		_, _ = io.WriteString(conn, part)
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err = r.ReadByte()
		ended <- err
		return nil
	})
	request, err := limpethttp.NewRequest(ctx, http.MethodPost, "http://"+l.Addr().String()+"/", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err == nil {
		t.Error("the request was answered")
	}
	end := <-ended
	if err := group.Stop(); err != nil {
		t.Error(err)
	}
	return end
}

// Guards against requests that were given up while their server was cut off, and
// reached it when the cut healed, long after their job had ended.
func TestAbandonedRequestsAreDiscarded(t *testing.T) {
	for name, transport := range map[string]func(int) *http.Transport{"plain": limpethttp.NewTransport, "with keep-alive": limpethttp.NewKeepAliveTransport} {
		Convey("a request that is given up without an answer resets its connection: "+name, t, func() {
			So(errors.Is(endOfConnection(t, transport(1), ""), syscall.ECONNRESET), ShouldBeTrue)
		})
		Convey("one whose answer has begun ends its connection in order: "+name, t, func() {
			So(errors.Is(endOfConnection(t, transport(1), "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), io.EOF), ShouldBeTrue)
		})
	}
}
