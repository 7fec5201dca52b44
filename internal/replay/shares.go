package replay

import (
	"time"

	"cicadaslip/internal/model"
)

// Windows of measure 5.
const (
	shareWindow = 10 // seconds
	demandSpan  = 2  // seconds: in each such part of the window the demand must reach the share
	// demandLead is the time before the window from which the demand must reach
	// the share, in seconds. A short answer takes about as long in a full batch,
	// so that earlier demand is what a window at first receives.
	demandLead = 2
)

// shareDeviation returns by how much of its share an organisation fell short at
// most over any window of 10 s in which it demanded at least its share, and the
// number of such windows. Demand is the least engine time of the arriving
// requests, in each 2 s of the window and before it at least the share of all runners' time.
// What was received is compared with the share of what the runners gave in the
// window to all, in the same unit.
func shareDeviation(w *world) (worst float64, windows int) {
	demand := demandPerSecond(w)
	runners := 0.0
	for _, t := range w.order {
		if t.info.Class == model.ClassRunner {
			runners++
		}
	}
	total := 0.0
	for _, share := range w.deployment.Shares {
		total += share
	}
	first, last := int(w.trace.Header.MeasureFrom/time.Second), int(w.trace.end()/time.Second)
	for from := first; from+shareWindow <= last; from++ {
		var given time.Duration
		for org := range w.deployment.Shares {
			given += sumOf(w.work[org], from, shareWindow)
		}
		for org, share := range w.deployment.Shares {
			part := share / total
			if !demands(demand[org], from, part*runners) {
				continue
			}
			windows++
			received := sumOf(w.work[org], from, shareWindow).Seconds()
			worst = max(worst, 1-ratio(received, part*given.Seconds()))
		}
	}
	return worst, windows
}

func demandPerSecond(w *world) map[string][]time.Duration {
	demand := map[string][]time.Duration{}
	for _, r := range w.requests {
		if r.arrival.Class != model.ClassRunner {
			continue
		}
		row := demand[r.arrival.Organisation]
		for len(row) <= int(r.at/time.Second) {
			row = append(row, 0)
		}
		row[int(r.at/time.Second)] += leastWork(w.deployment, r.arrival)
		demand[r.arrival.Organisation] = row
	}
	return demand
}

func demands(row []time.Duration, from int, perSecond float64) bool {
	for at := from - demandLead; at < from+shareWindow; at += demandSpan {
		if sumOf(row, at, demandSpan).Seconds() < perSecond*demandSpan {
			return false
		}
	}
	return true
}

func sumOf(row []time.Duration, from, length int) time.Duration {
	var sum time.Duration
	for i := max(0, from); i < min(from+length, len(row)); i++ {
		sum += row[i]
	}
	return sum
}
