package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// ids is a set of the IDs of requests.
type ids struct {
	mu  sync.Mutex
	set map[string]bool
}

func (s *ids) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		s.set = map[string]bool{}
	}
	s.set[id] = true
}

// useKeptConnection sends requests on one connection, with pauses about as long as the idle limit.
// It returns when the connection has ended.
func useKeptConnection(address, name string, answered, unanswered *ids) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	input := bufio.NewReader(conn)
	for n := 0; ; n++ {
		time.Sleep(15*time.Millisecond + rand.N(30*time.Millisecond))
		id := fmt.Sprintf("%s-%d", name, n)
		text := "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n\r\n"
		cut := len(text)
		if rand.N(4) == 0 {
			cut = rand.N(len(text))
		}
		_, _ = io.WriteString(conn, text[:cut]) // fails if the connection has ended, and so does the read below
		_, _ = io.WriteString(conn, text[cut:])
		resp, err := http.ReadResponse(input, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			unanswered.add(id)
			return nil
		}
		answered.add(id)
		if resp.Close {
			return nil
		}
	}
}

// Guards against a whole request that is read and gets no answer, because it crosses the close of
// its kept connection at an idle limit that has changed, or by a shutdown.
func TestRequestThatIsReadCrossesNoClose(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.NonIdempotent, func(c net.Conn) { _, _ = io.WriteString(c, plainAnswer) })
	setLimit := func(idle time.Duration) {
		w.limits.Store(&fleet.Limits{IdleTimeout: idle, HeaderTimeout: 5 * time.Second})
	}
	setLimit(30 * time.Millisecond)
	var handled, answered, unanswered ids
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for s := range w.summaries {
			handled.add(s.ID)
		}
	}()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for caller := range 40 {
		wait.Go(func() {
			for use := 0; useKeptConnection(address, fmt.Sprintf("q%d-%d", caller, use), &answered, &unanswered) == nil; use++ {
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	for range 200 {
		setLimit(20*time.Millisecond + rand.N(20*time.Millisecond))
		time.Sleep(10 * time.Millisecond)
	}
	w.shutdown(context.Background())
	close(stop)
	wait.Wait()
	close(w.summaries)
	<-collected
	t.Logf("%d requests answered, %d not", len(answered.set), len(unanswered.set))
	g.Expect(answered.set).NotTo(gomega.BeEmpty())
	g.Expect(unanswered.set).NotTo(gomega.BeEmpty(), "no request has crossed a close")
	for id := range unanswered.set {
		g.Expect(handled.set).NotTo(gomega.HaveKey(id), "it was read and not answered")
	}
}
