package memstore_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
)

var ctx = context.Background()

// manualClock is a Clock whose time only the test changes. Its timers never fire.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) After(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// haveCode matches an error with the given code.
func haveCode(code errs.Code) gomega.OmegaMatcher {
	return gomega.WithTransform(func(err error) bool { return errs.Is(err, code) }, gomega.BeTrue())
}

// Guards against reporting a lost or delayed write as one without effect, and
// against applying a delayed write whose condition no longer holds.
func TestAmbiguousWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	s.Inject(
		memstore.Rule{Fault: memstore.LoseResponse, Op: memstore.OpCreate, Count: 1},
		memstore.Rule{Fault: memstore.DelayWrite, Op: memstore.OpUpdate, Count: 2},
		memstore.Rule{Fault: memstore.LoseRequest, Op: memstore.OpPut, Count: 1},
	)
	_, err := s.Create(ctx, "a", []byte("1"))
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))
	object, err := s.Get(ctx, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(object.Version).To(gomega.BeEquivalentTo(1))

	for _, value := range []string{"2", "3"} {
		_, err = s.Update(ctx, "a", []byte(value), 1)
		g.Expect(err).To(haveCode(errs.StoreAmbiguous))
	}
	_, err = s.Put(ctx, "b", nil)
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))
	g.Expect(s.ApplyDelayed(0)).To(gomega.Equal(1))
	object, _ = s.Get(ctx, "a", 0)
	g.Expect(string(object.Value)).To(gomega.Equal("2"))
	_, err = s.Get(ctx, "b", 0)
	g.Expect(err).To(haveCode(errs.NotFound))
}

func TestDelayedWriteIsAppliedAfterCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	s.Inject(memstore.Rule{Fault: memstore.DelayWrite, Count: 1, AfterCalls: 2})
	_, err := s.Put(ctx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))
	_, err = s.Get(ctx, "a", 0)
	g.Expect(err).To(haveCode(errs.NotFound))
	_, err = s.Get(ctx, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a stale replica that serves a read whose minimum revision it has
// not reached.
func TestStaleReads(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	_, _ = s.Put(ctx, "a", []byte("1"))
	secondWrite, _ := s.Put(ctx, "a", []byte("2"))
	_, _ = s.Put(ctx, "ab", nil)
	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Lag: 2})
	object, err := s.Get(ctx, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(object.Value)).To(gomega.Equal("1"))
	_, err = s.Get(ctx, "a", secondWrite.Revision)
	g.Expect(err).To(haveCode(errs.StoreStale))
	page, err := s.List(ctx, "", "", 0, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.Objects).To(gomega.HaveLen(1))
}

func TestCancelledSlowWriteIsAppliedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.NewWithClock(&manualClock{})
	s.Inject(memstore.Rule{Fault: memstore.Slow, Delay: time.Second})
	writeCtx, cancel := context.WithCancel(ctx)
	time.AfterFunc(time.Millisecond, cancel)
	_, err := s.Put(writeCtx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))
	g.Expect(s.ApplyDelayed(0)).To(gomega.Equal(1))
}

func TestOutageEndsWaitingWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	watchErr := make(chan error, 1)
	go func() {
		_, err := s.Watch(ctx, "a", 0, time.Hour)
		watchErr <- err
	}()
	g.Eventually(func() int { return s.Counts().Waiting }).Should(gomega.Equal(1))
	s.SetOutage(true)
	g.Eventually(watchErr).Should(gomega.Receive(haveCode(errs.StoreUnavailable)))
	g.Expect(s.Counts().Watch).To(gomega.BeEquivalentTo(1))
}

func TestWatchReturnsChangesOfItsPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	object, _ := s.Put(ctx, "a/1", nil)
	_, _ = s.Put(ctx, "b/1", nil)
	g.Expect(s.Delete(ctx, "a/1", object.Version)).To(gomega.Succeed())
	changes, err := s.Watch(ctx, "a/", object.Revision, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes.Changes).To(gomega.HaveLen(1))
	g.Expect(changes.Changes[0].Deleted).To(gomega.BeTrue())
	g.Expect(changes.Revision).To(gomega.BeEquivalentTo(3))
}

func TestRateLimitAndListLag(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := &manualClock{now: time.Unix(1, 0)}
	s := memstore.NewWithClock(clock)
	s.SetRates(memstore.Rates{Writes: 2})
	for range 2 {
		_, err := s.Put(ctx, "a", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err := s.Put(ctx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreUnavailable))
	g.Expect(errs.As(err).Retry).To(gomega.Equal(500 * time.Millisecond))

	lister := memstore.NewLister(s)
	lister.SetLag(time.Second)
	lister.Set(model.Listing{VMs: []model.ListedVM{{Name: "vm"}}})
	listing, _ := lister.List(ctx)
	g.Expect(listing.VMs).To(gomega.BeEmpty())
	clock.now = clock.now.Add(time.Second)
	listing, _ = lister.List(ctx)
	g.Expect(listing.VMs).To(gomega.HaveLen(1))
	_, err = s.Put(ctx, "a", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against two updates of the same version that both succeed.
func TestConcurrentUpdatesAreSerialised(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	_, _ = s.Create(ctx, "n", []byte{0})
	const goroutines, increments = 8, 20
	var updaters sync.WaitGroup
	for range goroutines {
		updaters.Go(func() {
			for done := 0; done < increments; {
				object, _ := s.Get(ctx, "n", 0)
				if _, err := s.Update(ctx, "n", []byte{object.Value[0] + 1}, object.Version); err == nil {
					done++
				}
			}
		})
	}
	updaters.Wait()
	object, _ := s.Get(ctx, "n", 0)
	g.Expect(object.Value[0]).To(gomega.BeEquivalentTo(goroutines * increments))
}

// Guards against a stale read of a state that never existed, and against a watch
// that omits or repeats a write.
func TestHistoryMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := memstore.New()
		states := []map[string]string{{}}
		keys := rapid.SampledFrom([]string{"a", "ab", "b"})
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			key, value := keys.Draw(t, "key"), rapid.StringN(0, 3, 3).Draw(t, "value")
			next := map[string]string{}
			for k, v := range states[len(states)-1] {
				next[k] = v
			}
			if object, err := s.Get(ctx, key, 0); err == nil && rapid.Bool().Draw(t, "delete") {
				_ = s.Delete(ctx, key, object.Version)
				delete(next, key)
			} else {
				_, _ = s.Put(ctx, key, []byte(value))
				next[key] = value
			}
			states = append(states, next)
		}
		lag := rapid.IntRange(0, len(states)-1).Draw(t, "lag")
		s.Inject(memstore.Rule{Fault: memstore.StaleRead, Lag: int64(lag)})
		page, err := s.List(ctx, "", "", 0, 0)
		if err != nil || !hasObjects(page, states[len(states)-1-lag]) {
			t.Fatalf("lag %d: %v, want %v", lag, page, states[len(states)-1-lag])
		}
		changes, err := s.Watch(ctx, "", int64(len(states)-1-lag), 0)
		if err != nil || len(changes.Changes) != lag {
			t.Fatalf("%d changes, want %d", len(changes.Changes), lag)
		}
	})
}

// hasObjects reports whether the page has exactly the given keys and values.
func hasObjects(page objectstore.Page, want map[string]string) bool {
	for _, object := range page.Objects {
		if value, ok := want[object.Key]; !ok || value != string(object.Value) {
			return false
		}
	}
	return len(page.Objects) == len(want)
}
