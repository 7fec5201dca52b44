package timeline_test

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// Guards against stamps that repeat or run backwards with the wall clock, and
// against a remote stamp that moves the clock without bound.
func TestClockIsMonotonic(t *testing.T) {
	g := gomega.NewWithT(t)
	wall := time.Unix(1000, 0)
	clock := timeline.NewClock(func() time.Time { return wall })
	last := clock.Now()
	for _, step := range []time.Duration{0, time.Second, -time.Hour} {
		wall = wall.Add(step)
		next := clock.Now()
		g.Expect(last.Less(next)).To(gomega.BeTrue())
		last = next
	}
	full := timeline.Stamp{Wall: last.Wall + 1, Counter: ^uint32(0)}
	wall = time.Unix(1000, 0)
	clock.Merge(full)
	g.Expect(full.Less(clock.Now())).To(gomega.BeTrue())
	clock.Merge(timeline.Stamp{Wall: wall.Add(timeline.MaxSkew + time.Second).UnixNano()})
	g.Expect(clock.IgnoredStamps()).To(gomega.BeNumerically("==", 1))
	g.Expect(clock.Now().Wall).To(gomega.BeNumerically("<", wall.Add(timeline.MaxSkew).UnixNano()))
}

// Guards against an effect that is listed before its cause when clocks differ.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		var rings [processes]*timeline.Ring
		var clocks [processes]*timeline.Clock
		for i := range rings {
			skew := time.Duration(rapid.IntRange(-30, 30).Draw(t, "skew")) * time.Second / 2
			clocks[i] = timeline.NewClock(func() time.Time { return time.Unix(1000, 0).Add(skew) })
			rings[i] = timeline.NewRing(1000, strconv.Itoa(i), clocks[i])
		}
		steps := rapid.IntRange(1, 50).Draw(t, "steps")
		sender := 0
		for i := range steps { // each process records an event and sends a message to the next
			rings[sender].Record(timeline.Event{Detail: strconv.Itoa(i)})
			receiver := rapid.IntRange(0, processes-1).Draw(t, "to")
			clocks[receiver].Merge(clocks[sender].Now())
			sender = receiver
		}
		var answers []timeline.Answer
		for _, ring := range rings {
			answers = append(answers, ring.Select(timeline.Filter{}))
		}
		merged := timeline.Merge(append(answers, timeline.Answer{Process: "lost", NoAnswer: true}))
		if len(merged.Events) != steps || len(merged.NoAnswer) != 1 {
			t.Fatalf("%d of %d events, no answer of %v", len(merged.Events), steps, merged.NoAnswer)
		}
		for i, event := range merged.Events {
			if event.Detail != strconv.Itoa(i) {
				t.Fatalf("event %s is at position %d", event.Detail, i)
			}
		}
	})
}

// Guards against a ring that grows beyond its capacity, that does not count overwritten
// events, or that returns events that the filter does not match.
func TestRingIsBoundedAndFiltered(t *testing.T) {
	g := gomega.NewWithT(t)
	wall := time.Unix(1000, 0)
	ring := timeline.NewRing(4, "a", timeline.NewClock(func() time.Time { return wall }))
	for i := range 6 {
		wall = time.Unix(1000+int64(i), 0)
		ring.Record(timeline.Event{
			Request: model.RequestID(strconv.Itoa(i)), Target: strconv.Itoa(i % 2), Organisation: "o", Group: "g",
		})
	}
	all := ring.Select(timeline.Filter{})
	g.Expect(all.Overwritten).To(gomega.BeNumerically("==", 2))
	g.Expect(all.Events).To(gomega.HaveLen(4))
	g.Expect(all.Events[0].Request).To(gomega.BeEquivalentTo("2"))
	for _, test := range []struct {
		filter timeline.Filter
		want   int
	}{
		{timeline.Filter{Request: "3"}, 1},
		{timeline.Filter{Target: "1"}, 2},
		{timeline.Filter{Organisation: "o", Group: "g"}, 4},
		{timeline.Filter{Organisation: "other"}, 0},
		{timeline.Filter{Group: "other"}, 0},
		{timeline.Filter{From: time.Unix(1003, 0), Until: time.Unix(1005, 0)}, 2},
	} {
		g.Expect(ring.Select(test.filter).Events).To(gomega.HaveLen(test.want))
	}
	limited := ring.Select(timeline.Filter{Limit: 1})
	g.Expect(limited.Events).To(gomega.HaveExactElements(gomega.HaveField("Request", model.RequestID("5"))))
	g.Expect(limited.Omitted).To(gomega.Equal(3))
}

// Guards against events lost or out of order between goroutines.
func TestRingIsSafeForConcurrentUse(t *testing.T) {
	g := gomega.NewWithT(t)
	ring := timeline.NewRing(1000, "a", timeline.NewClock(time.Now))
	var recorders sync.WaitGroup
	for range 8 {
		recorders.Go(func() {
			for range 100 {
				ring.Record(timeline.Event{Kind: timeline.RequestArrived})
				ring.Select(timeline.Filter{Limit: 1})
			}
		})
	}
	recorders.Wait()
	events := ring.Select(timeline.Filter{}).Events
	g.Expect(events).To(gomega.HaveLen(800))
	for i := 1; i < len(events); i++ {
		g.Expect(events[i-1].Stamp.Less(events[i].Stamp)).To(gomega.BeTrue())
	}
}
