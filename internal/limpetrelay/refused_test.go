package limpetrelay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// Guards against a call that must not run twice and is given up, although the other VM
// refused it before it was handled.
func TestRefusedCallsWereNotTaken(t *testing.T) {
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		limpethttp.Refuse(w, "no memory for the body")
	}))
	defer vm.Close()
	client := limpetrelay.NewClient(vm.Client(), vm.Listener.Addr().String(), limpetrelay.Follower{})
	_, err := client.Pass(t.Context(), []byte("secret"), limpetupstream.Call{Server: &limpetsite.Server{}, Once: true})
	if !limpeterror.Is(err, limpeterror.Overloaded) {
		t.Errorf("a refused call ended with %v, not as one that was not taken", err)
	}
}

// Guards against an answer without a valid status that a VM of an earlier release passes on.
func TestPassedAnswersNeedAStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 101, 600, 999} {
		handlers := &limpetrelay.Handlers{
			IsOwn: func([]byte) bool { return true },
			CarryCall: func(_ context.Context, _ limpetupstream.Call, taken func() error) (*limpetupstream.Reply, error) {
				return &limpetupstream.Reply{Status: status, Signature: "s", Close: func() {}}, taken()
			},
		}
		vm := httptest.NewServer(handlers.Handler())
		client := limpetrelay.NewClient(vm.Client(), vm.Listener.Addr().String(), limpetrelay.Follower{})
		_, err := client.Pass(t.Context(), []byte("secret"), limpetupstream.Call{Server: &limpetsite.Server{}})
		if !limpeterror.Is(err, limpeterror.Unknown) {
			t.Errorf("an answer with status %d ended with %v", status, err)
		}
		vm.Close()
	}
}
