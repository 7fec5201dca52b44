package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

const lastEvent = 3 // ID of the last event of the streams in these tests

// event returns an event of a stream.
func event(id int64) string { return fmt.Sprintf("id: %d\ndata: text %d\n\n", id, id) }

// eventsAfter returns the rest of a stream.
func eventsAfter(id int64) string {
	text := ""
	for id++; id <= lastEvent; id++ {
		text += event(id)
	}
	return text
}

// chunk returns the wire form of a chunk.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// Guards against the text or the head of an error behind the events of a target that sends
// it itself, and against comments that are missing from its stream.
func TestOnlyEventsAndCommentsOfATargetArePassedOn(t *testing.T) {
	const comment, errorText = ": busy\n\n", "upstream error: no capacity\n\n"
	for name, c := range map[string]struct{ sent, received string }{
		"comments":                      {comment + comment + event(1) + comment + eventsAfter(1) + comment, ""},
		"events without IDs":            {"data: a\n\ndata: b\n\n", ""},
		"no event":                      {"", ""},
		"an error's text":               {event(1) + errorText, event(1)},
		"an error event":                {event(1) + "event: error\ndata: x\n\n", event(1)},
		"an error's head":               {event(1) + "HTTP/1.1 502 Bad Gateway\r\n\r\n", event(1)},
		"an error's object":             {event(1) + "{\"error\":\"x\"}\n\n", event(1)},
		"an event again":                {event(1) + event(1), event(1)},
		"a gap":                         {event(1) + event(3), event(1)},
		"a text behind events with IDs": {event(1) + event(2) + "data: c\n\n", event(1) + event(2)},
	} {
		for _, framed := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", framed ", framed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
					switch {
					case !framed:
						_, _ = io.WriteString(conn, unframedHead+c.sent)
					case c.sent == "":
						_, _ = io.WriteString(conn, streamHead+lastChunk)
					default:
						_, _ = io.WriteString(conn, streamHead+chunk(c.sent)+lastChunk)
					}
				})
				status, body, err := get(g, address)
				switch {
				case c.sent == "" && !framed:
					g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
				case c.received == "":
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(body).To(gomega.Equal(c.sent))
				default:
					g.Expect(err).To(gomega.HaveOccurred())
					g.Expect(c.received).To(gomega.HavePrefix(body))
				}
				g.Eventually(w.inFlight).Should(gomega.BeZero())
			})
		}
	}
}

// Guards against a caller that continues its stream and gets events that it already has, or
// misses some.
func TestCallerThatContinuesAStreamGetsTheNextEvent(t *testing.T) {
	for name, c := range map[string]struct {
		sent   string
		served bool
	}{
		"the rest":                       {eventsAfter(1), true},
		"from the beginning":             {eventsAfter(0), false},
		"after a gap":                    {event(3), false},
		"events without IDs":             {"data: text 2\n\n", false},
		"comments, then the rest":        {":\n\n" + eventsAfter(1), true},
		"comments, then the same events": {":\n\n" + eventsAfter(0), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
				_, _ = io.WriteString(conn, streamHead+chunk(c.sent)+lastChunk)
			})
			w.route.Resumable, w.lastEventID = true, 1
			status, body, err := get(g, address)
			if c.served {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.Equal(c.sent))
				return
			}
			g.Expect(status != http.StatusOK || err != nil).To(gomega.BeTrue(), "status %d, body %q", status, body)
			g.Expect(body).NotTo(gomega.ContainSubstring("data"))
		})
	}
}
