package limpetusage_test

import (
	"fmt"
	"time"

	"limpetmount.org/internal/limpetusage"
)

func ExampleWindowName() {
	t := time.Date(2026, 1, 2, 15, 4, 5, 0, time.UTC)
	fmt.Println(limpetusage.WindowName(t, 5*time.Minute))
	// Output: 20260102T150000Z
}

func ExampleFreeze() {
	late := limpetusage.Record{Window: "w1", Incarnation: "vm1-1", Counts: map[string]limpetusage.Count{"desk": {Tokens: 9}}}
	early := late
	early.Counts = map[string]limpetusage.Count{"desk": {Tokens: 4}}
	first := limpetusage.Freeze("w1", []limpetusage.Record{early}, nil, nil, nil)
	second := limpetusage.Freeze("w2", nil, []limpetusage.Record{late}, []limpetusage.FrozenWindow{first}, nil)
	fmt.Println(first.Totals["desk"].Tokens, second.Corrections[0].Count.Tokens)
	// Output: 4 5
}
