// Command stand3 plays the cases of the review with the system's own processes and
// stand-ins for the platform, its engines and its clients, all on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

var cases = map[string]func(s *site, trouble bool) bool{}

func main() {
	name := flag.String("case", "", "case to play")
	binary := flag.String("binary", "target/limpetplatform", "program of the machines")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	r := newRecord(*path)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		r.printf("the case did not end in time")
		exit(2)
	}()
	broken := play(newSite(*binary, r), os.Getenv("TROUBLE") != "0")
	if broken {
		r.printf("the rule was broken")
		exit(1)
	}
	r.printf("the rule held")
	exit(0)
}
