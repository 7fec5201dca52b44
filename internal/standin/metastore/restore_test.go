package metastore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// answered is an answer of the store.
type answered struct {
	status int
	era    string
	body   struct {
		Items  []object `json:"items"`
		Events []change `json:"events"`
		At     int64    `json:"at"`
	}
	err error
}

func startStore(t *testing.T) (*Store, *gomega.WithT) {
	g := gomega.NewWithT(t)
	s, err := Start("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Close)
	return s, g
}

func (s *Store) call(method, path, body string) (a answered) {
	req, err := http.NewRequest(method, "http://"+s.Address()+prefix+path, bytes.NewBufferString(body))
	if err != nil {
		return answered{err: err}
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.era = resp.StatusCode, resp.Header.Get(eraHeader)
	_ = json.NewDecoder(resp.Body).Decode(&a.body) // errors have no body
	return a
}

func (s *Store) revisionNow() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Guards against a restored store that keeps what was written since the copy, or whose
// revisions go on.
func TestRestoredStoreIsAsOldAsItsCopy(t *testing.T) {
	s, g := startStore(t)
	g.Expect(s.Put("k", "a", 1)).To(gomega.Succeed())
	copied := s.Snapshot()
	revision := s.revisionNow()
	g.Expect(s.Put("k", "a", 2)).To(gomega.Succeed())
	g.Expect(s.Put("k", "b", 1)).To(gomega.Succeed())
	later := s.Snapshot()
	s.Remove("k", "a")
	for i := range 2 {
		s.RestoreTo(copied)
		g.Expect(s.Era()).To(gomega.Equal(int64(2 + i)))
		g.Expect(s.revisionNow()).To(gomega.Equal(revision))
		g.Expect(string(s.Spec("k", "a"))).To(gomega.Equal("1"))
		g.Expect(s.Spec("k", "b")).To(gomega.BeNil())
		g.Expect(s.Put("k", "c", i)).To(gomega.Succeed())
		g.Expect(s.revisionNow()).To(gomega.Equal(revision+1), "given out again")
	}
	s.RestoreTo(later)
	g.Expect(string(s.Spec("k", "a"))).To(gomega.Equal("2"), "a copy of a lost history")
	g.Expect(string(s.Spec("k", "b"))).To(gomega.Equal("1"))
	g.Expect(s.Spec("k", "c")).To(gomega.BeNil())
}

// Guards against a copy of another age than asked for.
func TestRestoreByAge(t *testing.T) {
	s, g := startStore(t)
	g.Expect(s.Put("k", "a", 1)).To(gomega.Succeed())
	time.Sleep(300 * time.Millisecond)
	g.Expect(s.Put("k", "b", 1)).To(gomega.Succeed())
	s.Restore(150 * time.Millisecond)
	g.Expect(s.Spec("k", "a")).NotTo(gomega.BeNil())
	g.Expect(s.Spec("k", "b")).To(gomega.BeNil())
	s.Restore(time.Hour)
	g.Expect(s.Spec("k", "a")).To(gomega.BeNil())
	g.Expect(s.revisionNow()).To(gomega.Equal(int64(firstRevision)))
}

// Guards against answers without the era, and errors among them.
func TestAllAnswersBearTheEra(t *testing.T) {
	s, g := startStore(t)
	g.Expect(s.Put("k", "a", 1)).To(gomega.Succeed())
	s.RestoreTo(s.Snapshot())
	s.RestoreTo(s.Snapshot())
	object := `{"metadata":{"name":"a","revision":%d},"spec":1}`
	for _, c := range []struct {
		method, path, body string
		status             int
		fault              Fault
	}{
		{http.MethodGet, "k", "", 200, None},
		{http.MethodGet, "k/a", "", 200, None},
		{http.MethodGet, "k/b", "", 404, None},
		{http.MethodGet, "k?watch=1", "", 200, None},
		{http.MethodGet, "k?watch=100", "", 410, None},
		{http.MethodPost, "k", fmt.Sprintf(object, 0), 409, None},
		{http.MethodPut, "k/a", fmt.Sprintf(object, 77), 409, None},
		{http.MethodPut, "k/a", "{", 400, None},
		{http.MethodPut, "k/a", fmt.Sprintf(object, 0), 200, None},
		{http.MethodDelete, "k/b", "", 404, None},
		{http.MethodDelete, "k/a", "", 200, None},
		{http.MethodGet, "k", "", 503, Refuse},
		{http.MethodPost, "k", fmt.Sprintf(object, 0), 429, Busy},
	} {
		s.SetFault(c.fault)
		a := s.call(c.method, c.path, c.body)
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		g.Expect(a.status).To(gomega.Equal(c.status), "%s %s", c.method, c.path)
		g.Expect(a.era).To(gomega.Equal("3"), "%s %s", c.method, c.path)
	}
}

// Guards against waiting watches that do not notice a restore.
func TestWatchesAtARestore(t *testing.T) {
	for name, c := range map[string]struct {
		back, cut bool // to before the revision of the watch
		status    int
	}{
		"a revision that is gone": {back: true, status: http.StatusGone},
		"a revision that is left": {status: http.StatusOK},
		"cut":                     {cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, g := startStore(t)
			if c.cut {
				s.CutWatches()
			}
			empty := s.Snapshot()
			g.Expect(s.Put("k", "a", 1)).To(gomega.Succeed())
			revision := s.revisionNow()
			result := make(chan answered, 1)
			go func() {
				result <- s.call(http.MethodGet, fmt.Sprintf("k?watch=%d&wait_ms=20000", revision), "")
			}()
			g.Eventually(func() int { return s.Calls(http.MethodGet) }).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
			time.Sleep(100 * time.Millisecond) // until the watch waits
			if c.back {
				s.RestoreTo(empty)
			} else {
				s.RestoreTo(s.Snapshot())
				g.Expect(s.Put("k", "b", 1)).To(gomega.Succeed())
			}
			var a answered
			g.Eventually(result).WithTimeout(5 * time.Second).Should(gomega.Receive(&a))
			if c.cut {
				g.Expect(a.err).To(gomega.HaveOccurred())
				return
			}
			g.Expect(a.err).NotTo(gomega.HaveOccurred())
			g.Expect(a.status).To(gomega.Equal(c.status))
			g.Expect(a.era).To(gomega.Equal("2"))
		})
	}
}

// Guards against a call that is under way during a restore and takes effect in the wrong era.
func TestCallsAcrossARestore(t *testing.T) {
	write := `{"metadata":{"name":"a"},"spec":7}`
	for name, c := range map[string]struct {
		hold   func(s *Store) (release func())
		era    string
		exists bool
	}{
		"carried out after it":              {func(s *Store) func() { return s.HoldCalls(http.MethodPost, "k") }, "2", true},
		"carried out before, answered late": {func(s *Store) func() { return s.HoldAnswers(http.MethodPost, "k") }, "1", false},
	} {
		t.Run(name, func(t *testing.T) {
			s, g := startStore(t)
			empty := s.Snapshot()
			release := c.hold(s)
			result := make(chan answered, 1)
			go func() { result <- s.call(http.MethodPost, "k", write) }()
			g.Eventually(func() int { return s.Calls(http.MethodPost) }).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
			if !c.exists {
				g.Eventually(func() any { return s.Spec("k", "a") }).WithTimeout(5 * time.Second).ShouldNot(gomega.BeNil())
			}
			s.RestoreTo(empty)
			release()
			var a answered
			g.Eventually(result).WithTimeout(5 * time.Second).Should(gomega.Receive(&a))
			g.Expect(a.status).To(gomega.Equal(http.StatusOK))
			g.Expect(a.era).To(gomega.Equal(c.era))
			g.Expect(s.Spec("k", "a") != nil).To(gomega.Equal(c.exists))
		})
	}
}
