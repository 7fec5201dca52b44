package crowdtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cicadaslip/internal/standin/engine"
)

const (
	// headCrowdSize is nearly the number of callers' connections that a process accepts.
	headCrowdSize = 300
	// workTime is how long a target works on a request. The whole crowd waits for it at once.
	workTime = 2 * time.Second
	// commonHeadBytes is more than the part of a head that is not filled.
	commonHeadBytes = 200
)

// repeated returns a text repeatedly, up to a number of bytes.
func repeated(text string, bytes int) string { return strings.Repeat(text, bytes/len(text)) }

// shortFields returns header lines of four bytes each, with different names.
func shortFields(bytes int) string {
	var all strings.Builder
	for i := 0; all.Len()+4 <= bytes; i++ {
		all.WriteByte('a' + byte(i%26))
		all.WriteString(":\r\n")
	}
	return all.String()
}

// Guards against a process that is ended by heads within the limit that cost far more memory than they
// have bytes, while their requests are served and while their connections are idle afterwards.
func TestHeadsWithinTheLimit(t *testing.T) {
	const fill = maxHeadBytes - commonHeadBytes
	playHeads(t, map[string]func(id string) string{
		"short fields": func(id string) string { return head(id, shortFields(fill)+"Content-Length: 0") },
		"prompt parts": func(id string) string {
			return head(id, "X-Prompt-Prefix: "+repeated("a,", fill)+"\r\nContent-Length: 0")
		},
		"connection options": func(id string) string {
			return head(id, "Connection: "+repeated("a,", fill/2)+"\r\n"+shortFields(fill/2)+"Content-Length: 0")
		},
		"long path": func(id string) string {
			return strings.Replace(head(id, "Content-Length: 0"), lookup, lookup+repeated("a/%41?", fill), 1)
		},
	})
}

// playHeads has a crowd send each of the requests and keep its connections open.
func playHeads(t *testing.T, requests map[string]func(id string) string) {
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			p := start(t, smallest, engine.Settings{Pause: workTime})
			p.crowd(t, headCrowdSize, func(i int, conn net.Conn) {
				_, _ = io.WriteString(conn, request(fmt.Sprint("h", i)))
				readAnswers(conn)
			})
			p.check(t)
		})
	}
}

// Guards against a process that is ended by heads of many short fields that come behind another request
// in the same packet, or stop just short of their end.
func TestHeadsOfShortFieldsInOtherPlaces(t *testing.T) {
	const fill = maxHeadBytes - commonHeadBytes
	playHeads(t, map[string]func(id string) string{
		"behind a request": func(id string) string {
			return head(id+"a", "Content-Length: 0") + head(id+"b", shortFields(fill)+"Content-Length: 0")
		},
		"behind a chunked request": func(id string) string {
			return head(id+"a", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n" + head(id+"b", shortFields(fill)+"Content-Length: 0")
		},
		"short of the end": func(id string) string { return strings.TrimSuffix(head(id, shortFields(fill)), "\r\n") },
	})
}

// Guards against a process that is ended by the trailers of chunked bodies, which the HTTP library keeps
// although nothing uses them, or that spends its time on parsing them anew for each byte that arrives.
func TestTrailersOfShortFields(t *testing.T) {
	for name, piece := range map[string]int{"at once": 32 << 10, "byte by byte": 1} {
		t.Run(name, func(t *testing.T) {
			p := start(t, smallest, engine.Settings{Pause: workTime})
			p.crowd(t, headCrowdSize, func(i int, conn net.Conn) {
				_, _ = io.WriteString(conn, head(fmt.Sprint("t", i), "Transfer-Encoding: chunked")+"1\r\nx\r\n0\r\n")
				trailers := shortFields(32<<10) + "\r\n"
				for len(trailers) > 0 {
					n := min(piece, len(trailers))
					if _, err := io.WriteString(conn, trailers[:n]); err != nil {
						return
					}
					trailers = trailers[n:]
				}
				readAnswers(conn)
			})
			p.check(t)
		})
	}
}

// readAnswers reads what a process answers, until it closes the connection or the patience of a caller
// ends.
func readAnswers(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	_, _ = io.Copy(io.Discard, conn)
}
