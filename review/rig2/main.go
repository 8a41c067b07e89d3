// Command rig2 runs the cases of the second review: a pooler with the deploy file's command, and stand-ins on loopback.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(trouble bool) (broken string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, from the repository's root")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = f
	go func() {
		time.Sleep(115 * time.Second)
		cannot("it takes too long")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, with the disruption: %v", os.Args[1], trouble)
	if broken := cases[os.Args[1]](trouble); broken != "" {
		say("BROKEN: %s", broken)
		end(1)
	}
	say("held")
	end(0)
}
