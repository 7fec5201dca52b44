package crowdtest

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"cicadaslip/internal/standin/engine"
)

// Guards against a process that is ended by callers of all kinds at once, although those of each kind alone stay
// within the memory, and against limits that do not grow with the VM.
func TestMixedCrowds(t *testing.T) {
	const fill = maxHeadBytes - commonHeadBytes
	length := fmt.Sprint("Content-Length: ", maxBodyBytes)
	kinds := []func(id string, conn net.Conn){
		func(id string, conn net.Conn) { // chunked, short of its end
			_, _ = io.WriteString(conn, head(id, "Transfer-Encoding: chunked"))
			chunks(conn, maxBodyBytes-missing, 16)
		},
		func(id string, conn net.Conn) { // of legal size, short of its end
			_, _ = io.WriteString(conn, head(id, length))
			_, _ = conn.Write(make([]byte, maxBodyBytes-missing))
		},
		func(id string, conn net.Conn) { // far over the limit
			_, _ = io.WriteString(conn, head(id, "Transfer-Encoding: chunked"))
			chunks(conn, 8*maxBodyBytes, 64<<10)
		},
		func(id string, conn net.Conn) { // many fields
			_, _ = io.WriteString(conn, head(id, shortFields(fill)+"Content-Length: 0"))
			readAnswers(conn)
		},
		func(id string, conn net.Conn) { // part of a head
			_, _ = io.WriteString(conn, "POST "+lookup+" HTTP/1.1\r\n"+shortFields(fill))
		},
		func(id string, conn net.Conn) { // no reader of the answer
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(conn, head(id, "Content-Length: 0"))
			time.Sleep(patience)
		},
	}
	for name, c := range map[string]struct {
		size  vmSize
		crowd int
	}{"smallest VM": {smallest, 400}, "largest VM": {largest, 1400}} {
		t.Run(name, func(t *testing.T) {
			p := start(t, c.size, engine.Settings{AnswerBytes: 4 << 20})
			p.path = lookup + "?" + engine.ShortAnswer
			p.crowd(t, c.crowd, func(i int, conn net.Conn) { kinds[i%len(kinds)](fmt.Sprint("m", i), conn) })
			p.check(t)
		})
	}
}

// Guards against callers that take all connections of a process with little that they send slowly or read
// slowly, so that ordinary callers are refused for as long as the time limits of a request.
func TestSlowCallersOnAllConnections(t *testing.T) {
	const callers = 400
	for name, act := range map[string]func(id string, conn net.Conn){
		"small bodies": func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, head(id, "Content-Length: 4096")+repeated("x", 4000))
		},
		"small chunks": func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, head(id, "Transfer-Encoding: chunked"))
			chunks(conn, 64<<10, 16)
		},
		"answers": func(id string, conn net.Conn) {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(conn, head(id, "Content-Length: 0"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := start(t, smallest, engine.Settings{AnswerBytes: 256 << 10})
			p.path = lookup + "?" + engine.ShortAnswer
			p.crowd(t, callers, func(i int, conn net.Conn) { act(fmt.Sprint("s", i), conn) })
			time.Sleep(settleTime)
			p.check(t)
		})
	}
}
