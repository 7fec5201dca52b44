//go:build review

package main

import (
	"fmt"
	"os"
)

// noTrouble is the value of TROUBLE that leaves the disruption out.
const noTrouble = "0"

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripted cases, and fields, which is none. Each gets the value of TROUBLE, and returns
// whether the rule was broken.
var cases = map[string]func(rec *record, trouble string) (broken bool, err error){
	"parts":    playParts,
	"fields":   playFields,
	"held":     playHeld,
	"unframed": playUnframed,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scripts CASE RECORD TROUBLE")
		os.Exit(exitFailed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	rec.printf("case %s, TROUBLE=%s", os.Args[1], os.Args[3])
	broken, err := cases[os.Args[1]](rec, os.Args[3])
	status := exitHeld
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		status = exitFailed
	case broken:
		rec.printf("the rule was broken")
		status = exitBroken
	default:
		rec.printf("the rule held")
	}
	rec.close()
	os.Exit(status)
}
