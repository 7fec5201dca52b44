//go:build review

package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the case "parts": the prompts and the rate of the kind of request "quote-draft" on the
// sheet of the deployment, with the prompts in blocks of 16 tokens, as engines cache them.
const (
	sharedTokens  = 6300
	ownTokens     = 2890
	blockTokens   = 16
	topics        = 24 // prompts that differ in their shared tokens
	partsAdapters = 24
	partsTime     = 85 * time.Second
	partsEvents   = 8
	// firstEventTime is between the medians of the two kinds on a quiet day of the bench (304 and 604 ms).
	// The pauses between events are as long here, which their aim of 600 ms allows.
	firstEventTime = 450 * time.Millisecond
	partsInterval  = 76 * time.Millisecond
	headerLimit    = 16384 // of the small deployments' configurations
)

// blocks returns parts of a prompt, numbered from first.
func blocks(first, count, tokens int) string {
	parts := make([]string, count)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x:%d", 0x5c000000+first+i, tokens)
	}
	return strings.Join(parts, ",")
}

// promptParts returns the parts of the prompt of a request: the shared ones of its topic, and its
// own ones, in blocks of a length.
func promptParts(number, blockTokens int) string {
	const most = 1 << 10 // parts of a topic or request
	shared, own := sharedTokens/blockTokens, ownTokens/blockTokens
	return blocks(number%topics*most, shared, blockTokens) + "," + blocks((topics+number)*most, own, blockTokens)
}

// playParts sends prompts that name all their blocks, in heads within the limit.
// Without trouble the same prompts name two parts, the shared one and their own.
func playParts(rec *record, trouble string) (bool, error) {
	d, err := newDeployment(rec, true)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.configure(headerLimit); err != nil {
		return false, err
	}
	if err := d.startEngines(9, partsEvents, firstEventTime); err != nil {
		return false, err
	}
	if err := d.startVMs(3); err != nil {
		return false, err
	}
	stop, guarded := make(chan struct{}), make(chan error, 1)
	go func() { guarded <- d.keepWithinMemory(stop) }()
	callers := newKeptCallers(rec)
	owner, _ := d.groupRecord()
	// The platform chooses the machine of a client by a hash, so the shares are uneven: half of the
	// clients are at the machine that owns the runners' group.
	order := slices.Clone(d.vms)
	slices.SortStableFunc(order, func(a, b *vm) int { return cmp.Compare(boolToInt(b.name == owner), boolToInt(a.name == owner)) })
	order = append(order, order[0])
	var wait sync.WaitGroup
	largest := 0
	end := time.Now().Add(partsTime)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(partsInterval)
		q := request{id: nextID(), adapter: 1 + n%partsAdapters, tokens: sharedTokens + ownTokens, events: partsEvents, deadline: 6 * time.Second}
		if q.parts = promptParts(n, blockTokens); trouble == noTrouble {
			q.parts = blocks(n%topics, 1, sharedTokens) + "," + blocks(topics+n, 1, ownTokens)
		}
		largest = max(largest, len(q.head()))
		wait.Go(func() { callers.ask(order[n%len(order)], q) })
	}
	wait.Wait()
	close(stop)
	if err := <-guarded; err != nil {
		return false, err
	}
	d.recordRuns()
	rec.printf("largest head %d bytes of %d; answers: %s", largest, headerLimit, &callers.answers)
	d.overMemory()
	return callers.lost(d), nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
