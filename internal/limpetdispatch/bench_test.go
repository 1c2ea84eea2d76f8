package limpetdispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"limpetmount.org/internal/limpetquarantine"
)

// BenchmarkComplete measures the forwarding of a completion from a stub engine.
// The difference between the two lengths gives the cost of a token.
func BenchmarkComplete(b *testing.B) {
	for _, tokens := range []int{1, 1001} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			engines := &stubEngines{}
			dispatcher, _ := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
			var chunks [][]byte
			for n := range tokens - 1 {
				chunks = append(chunks, fmt.Appendf(nil, `{"id":"cmpl","choices":[{"text":"w12-3 ","finish_reason":null}],"weights":{"version":1,"incarnation":"e1/1"},"index":%d}`, n))
			}
			chunks = append(chunks, fmt.Appendf(nil, `{"id":"cmpl","choices":[{"text":"w12-3 ","finish_reason":"stop"}],"index":%d}`, tokens-1))
			dispatcher.Engine.Stream = func(_ context.Context, _, _ string, _ []byte, onData func([]byte) error) error {
				for _, chunk := range chunks {
					if err := onData(chunk); err != nil {
						return err
					}
				}
				return nil
			}
			c := completion("p", nil)
			c.OnData = func([]byte) error { return nil }
			b.ReportAllocs()
			for b.Loop() {
				if _, err := dispatcher.Complete(context.Background(), c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
