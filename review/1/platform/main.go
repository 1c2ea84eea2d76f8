// Command standin plays one case of the review: it starts the system's processes
// before stand-ins of the platform, engines and clients, and checks one rule. It
// ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(d *deployment) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	defer func() {
		if fault := recover(); fault != nil {
			fmt.Fprintln(os.Stderr, fault)
			cleanup()
			os.Exit(2)
		}
	}()
	d := newDeployment(os.Args[2])
	d.sampleEngines()
	broken := cases[os.Args[1]](d)
	verdict := "the rule held"
	if broken {
		verdict = "the rule is broken"
	}
	d.note("%s", verdict)
	fmt.Println(verdict)
	cleanup()
	if broken {
		os.Exit(1)
	}
}
