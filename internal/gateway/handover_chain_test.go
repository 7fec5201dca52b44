package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/standin/loopback"
)

// inTurn answers each request with the next function, and all later ones with the last.
func inTurn(respond ...func(net.Conn)) func(net.Conn) {
	var requests atomic.Int64
	return func(c net.Conn) { respond[min(int(requests.Add(1)), len(respond))-1](c) }
}

// mute sends the parts and then nothing until the gateway closes the connection.
func mute(parts ...string) func(net.Conn) {
	return func(c net.Conn) {
		writes(parts...)(c)
		_, _ = c.Read(make([]byte, 1))
	}
}

// Guards against a request that stays at a second silent target until its caller leaves,
// although a third target would take it.
func TestRequestLeavesASecondSilentTarget(t *testing.T) {
	for name, c := range map[string]struct {
		first, second string
		third         []string
	}{
		"before the first event, no head": {third: []string{streamHead, chunk1, chunk2, chunk3, lastChunk}},
		"before the first event, a head":  {second: streamHead, third: []string{streamHead, chunk1, chunk2, chunk3, lastChunk}},
		"begun":                           {first: streamHead + chunk1 + chunk2, second: streamHead, third: []string{streamHead, chunk3, lastChunk}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, inTurn(mute(c.first), mute(c.second), writes(c.third...)))
			w.route.Resumable, w.route.MaxAttempts, w.estimate = true, 3, time.Millisecond
			status, body, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(body).To(gomega.Equal(wholeStream))
		})
	}
}

// Guards against a begun stream that is taken from its sound target by another one that does
// not continue it: its first event is not the next one of the stream.
func TestStreamStaysUntilAnotherTargetContinuesIt(t *testing.T) {
	for name, second := range map[string]func(net.Conn){
		"it begins anew":     writes(streamHead, chunk1, chunk2, chunk3, lastChunk),
		"it skips an event":  writes(streamHead, "7\r\nid: 4\n\n\r\n", lastChunk),
		"it sends a comment": mute(streamHead, "3\r\n:\n\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, inTurn(func(c net.Conn) {
				writes(streamHead, chunk1, chunk2)(c)
				time.Sleep(2600 * time.Millisecond) // shortly after the other target has the request
				writes(chunk3, lastChunk)(c)
			}, second))
			w.route.Resumable, w.route.MaxAttempts = true, 2
			_, body, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal(wholeStream))
		})
	}
}

// Guards against a handover that gives up because some targets refused the request, and does
// not ask again although there is time and the first target sends nothing more.
func TestHandoverAsksAgainAfterRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	refuse := writes(refusal)
	w, address := newWorld(t, fleet.Streaming, inTurn(mute(streamHead, chunk1), refuse, refuse, refuse, refuse, refuse, refuse,
		writes(streamHead, chunk2, chunk3, lastChunk)))
	w.route.Resumable, w.route.MaxAttempts = true, 3
	_, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal(wholeStream))
}

// Guards against a begun stream that is cut because a refusal advises callers to come back
// later than the stream can wait, although the placement may have a place before.
func TestStreamAsksAgainBeforeItsCallerLeaves(t *testing.T) {
	for name, first := range map[string]func(net.Conn){"ended": writes(streamHead, chunk1, chunk2), "silent": mute(streamHead, chunk1, chunk2)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, inTurn(first, writes(streamHead, chunk3, lastChunk)))
			w.route.Resumable, w.route.MaxAttempts = true, 2
			w.acquire = func(placement int) *errs.Error {
				if placement == 2 {
					return errs.NotRun(errs.Overloaded, "the queue is full").WithRetry(time.Minute)
				}
				return nil
			}
			_, body, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal(wholeStream))
		})
	}
}

// Guards against a begun stream that is cut although a target has room again, because that
// target refused it once or could not be reached.
func TestTargetThatHasNotRunAStreamIsTriedAgain(t *testing.T) {
	closed, err := loopback.Reserve()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for name, c := range map[string]struct {
		second  grant
		respond func(net.Conn)
	}{
		"refused":       {second: grant{target: "b"}, respond: inTurn(writes(streamHead, chunk1, chunk2), writes(refusal), writes(streamHead, chunk3, lastChunk))},
		"no connection": {second: grant{target: "b", address: closed}, respond: inTurn(writes(streamHead, chunk1, chunk2), writes(streamHead, chunk3, lastChunk))},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, c.respond)
			w.route.Resumable, w.route.MaxAttempts = true, 2
			w.grants = []grant{{target: "a"}, c.second}
			w.asked = make(chan placer.Request, 8)
			w.acquire = func(placement int) *errs.Error {
				if placement == 3 {
					return errs.NotRun(errs.NoTarget, "all targets are excluded").WithRetry(time.Millisecond)
				}
				return nil
			}
			_, body, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal(wholeStream))
			var excluded [][]string
			for len(w.asked) > 0 {
				excluded = append(excluded, (<-w.asked).Exclude)
			}
			g.Expect(excluded).To(gomega.Equal([][]string{nil, {"a"}, {"a", "b"}, {"a"}}))
		})
	}
}

// Guards against a begun stream that is cut because its caller read the last event slowly: the
// caller has not waited for the next one meanwhile.
func TestStreamOfASlowCallerIsResumed(t *testing.T) {
	const abandonAfter = time.Second
	g := gomega.NewWithT(t)
	large := "id: 1\ndata: " + strings.Repeat("x", 1<<19) + "\n\n" // more than the buffers of the connection hold
	w, address := newWorld(t, fleet.Streaming, inTurn(writes(streamHead, chunk(large)), writes(streamHead, chunk2, lastChunk)))
	w.route.Resumable, w.route.MaxAttempts, w.route.AbandonAfter = true, 2, abandonAfter
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.(*net.TCPConn).SetReadBuffer(64 << 10)).To(gomega.Succeed())
	_, err = io.WriteString(conn, callerRequest+"\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(abandonAfter + 500*time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body) == large+"id: 2\n\n").To(gomega.BeTrue(), "%d bytes", len(body))
}

// Guards against a resumed stream that stays at its new target when that one falls silent,
// although a further target would take it.
func TestResumedStreamLeavesASilentTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Streaming, inTurn(writes(streamHead, chunk1), mute(streamHead, chunk2), writes(streamHead, chunk3, lastChunk)))
	w.route.Resumable, w.route.MaxAttempts = true, 3
	_, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal(wholeStream))
}

// Guards against a stream that cannot go on at another target, because all that its own target
// sent before it fell silent or ended was a comment.
func TestStreamOfCommentsMovesToAnotherTarget(t *testing.T) {
	const comment = ":\n\n"
	for name, first := range map[string]func(net.Conn){"silent": mute(streamHead, chunk(comment)), "ended": writes(streamHead, chunk(comment))} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, inTurn(first, writes(streamHead, chunk1, chunk2, chunk3, lastChunk)))
			w.route.Resumable, w.route.MaxAttempts = true, 2
			_, body, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal(comment + wholeStream))
			g.Expect(w.resumedAfter.Load()).To(gomega.BeZero())
		})
	}
}

// Guards against a stream whose first event, without an ID, arrives late and again from another
// target.
func TestEventWithoutAnIDEndsTheHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	opened := make(chan struct{}, 1)
	w, address := newWorld(t, fleet.Streaming, inTurn(func(c net.Conn) {
		writes(streamHead, chunk(":\n\n"))(c)
		<-opened
		writes(chunk("data: a\n\n"))(c)
		time.Sleep(overlapBound)
		writes(chunk("data: b\n\n"), lastChunk)(c)
	}, func(c net.Conn) {
		opened <- struct{}{}
		mute()(c)
	}))
	w.route.Resumable, w.route.MaxAttempts = true, 2
	_, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal(":\n\ndata: a\n\ndata: b\n\n"))
}
