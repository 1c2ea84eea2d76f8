package limpetroute_test

import (
	"fmt"

	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetroute"
)

func ExamplePick() {
	var candidates []limpetroute.Candidate
	for i, load := range []float64{7, 2} {
		s := limpetroute.NewServer(limpetorder.Server{ID: fmt.Sprintf("e%d", i), Zone: "pretoria-a", Class: limpetorder.Standard})
		candidates = append(candidates, limpetroute.Candidate{Server: s, Capacity: 8, OtherRequests: load})
	}
	picked := limpetroute.Pick(candidates, limpetroute.Query{Zone: "pretoria-a"})
	fmt.Println(candidates[picked].ID)
	// Output: e1
}
