//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of "fields".
const (
	fieldClients = 640
	fieldRounds  = 4
)

// tinyFields returns header lines of four bytes each.
func tinyFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len()+4 <= bytes; i++ {
		fmt.Fprintf(&b, "%c:\r\n", 'a'+i%26)
	}
	return b.String()
}

// playFields sends requests whose heads, within the limit, hold many short fields, many at once.
// Without trouble the heads hold as many bytes in one field.
func playFields(rec *record, trouble string) (bool, error) {
	d, err := newDeployment(rec, true)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.configure(headerLimit); err != nil {
		return false, err
	}
	if err := d.startEngines(9, readEvents, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.startVMs(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go d.watchMemory(stop)
	var wait sync.WaitGroup
	answers := tally{record: rec}
	for round := range fieldRounds {
		for n := range fieldClients {
			q := request{id: nextID(), adapter: 1 + n%6, tokens: 800, events: readEvents, parts: blocks(2*(round*fieldClients+n), 2, 400), deadline: 6 * time.Second}
			if q.more = tinyFields(headerLimit - 600); trouble == noTrouble {
				q.more = "A: " + strings.Repeat("a", headerLimit-600) + "\r\n"
			}
			q.more += "Connection: close\r\n"
			wait.Go(func() { answers.ask(d.vms[0], q) })
		}
		wait.Wait()
		rec.printf("round %d: %s; %.0f MB", round, &answers, d.vms[0].residentMB())
	}
	close(stop)
	d.recordRuns()
	return d.overMemory(), nil
}
