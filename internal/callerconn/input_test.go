package callerconn_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/membudget"
)

const bufferBytes = 40 << 10

// bounded returns a connection with a budget, and the connection of its caller.
func bounded(t *testing.T, total int64) (caller net.Conn, conn *callerconn.Conn, budget *membudget.Budget) {
	l := listen(t, callerconn.Limits{First: time.Minute, Idle: time.Minute, Header: time.Minute})
	budget = membudget.New(membudget.Limits{Total: total, Connections: total, One: total, Address: total})
	l.Memory, l.ReadBufferBytes = budget, bufferBytes
	caller, conn = connect(t, l)
	return caller, conn, budget
}

// fill reads as an HTTP server does that has parsed nothing of what its buffer holds, until the buffer ends
// with a text or a read fails. It returns the largest read.
func fill(conn *callerconn.Conn, end string) (largest int, err error) {
	buffer := make([]byte, bufferBytes)
	for used := 0; !strings.HasSuffix(string(buffer[:used]), end); {
		n, err := conn.Read(buffer[used:])
		if err != nil {
			return largest, err
		}
		used, largest = used+n, max(largest, n)
	}
	return largest, nil
}

func shortFields(lines int) string { return strings.Repeat("a:\r\n", lines) + "\r\n" }

// Guards against a head whose fields cost far more memory than its bytes, and are not counted before the
// HTTP server parses them, or are counted after the request.
func TestFieldsOfAHeadAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, conn, budget := bounded(t, 8<<20)
	head := "GET / HTTP/1.1\r\n" + shortFields(4000)
	_, err := io.WriteString(caller, head)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	largest, err := fill(conn, "\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(largest).To(gomega.BeNumerically("<=", 2<<10), "read ahead")
	g.Expect(budget.State().Used).To(gomega.BeNumerically(">", 1<<20))
	g.Expect(conn.HasLargeHead()).To(gomega.BeTrue())
	held := budget.State().Used
	g.Expect(conn.ReserveHead([]byte(head))).To(gomega.Succeed())
	g.Expect(budget.State().Used).To(gomega.Equal(held), "the head is counted once")
	conn.BeginIdle()
	g.Expect(conn.HasLargeHead()).To(gomega.BeFalse())
	g.Expect(budget.State().Used).To(gomega.Equal(int64(membudget.ConnectionBytes)))
	g.Expect(conn.ReserveHead([]byte(head))).To(gomega.Succeed())
	g.Expect(budget.State().Used).To(gomega.Equal(held), "a head that came with the request before")
}

// Guards against a head without memory whose refusal does not say that the request has not run.
func TestAHeadWithoutMemoryIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, conn, _ := bounded(t, 128<<10)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n"+shortFields(4000))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = fill(conn, "\r\n\r\n")
	g.Expect(errs.As(err).Code).To(gomega.Equal(errs.Overloaded))
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	g.Expect(errs.As(err).Retry).To(gomega.BeNumerically(">", 0))
}

// Guards against ordinary requests that take memory from the budget for their heads, and against bodies
// that are counted as heads.
func TestOrdinaryInputTakesNoMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, conn, budget := bounded(t, 8<<20)
	head := "POST / HTTP/1.1\r\n" + strings.Repeat("X-Field: a, b, c\r\n", 20) + "X-Prompt: " + strings.Repeat("5c1e07a2:800,", 10) + "\r\n\r\n"
	_, err := io.WriteString(caller, head)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = fill(conn, "\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conn.BeginBody()
	for _, buffer := range [][]byte{make([]byte, bufferBytes), make([]byte, 2*bufferBytes)} { // of the server, and of a reader of bodies
		piece := strings.Repeat("[1, 2, 3, 4]\n", 2<<10)
		for range 10 {
			_, err := io.WriteString(caller, piece)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for read := 0; read < len(piece); {
				n, err := conn.Read(buffer) // all that was read before has been parsed
				g.Expect(err).NotTo(gomega.HaveOccurred())
				read += n
			}
		}
	}
	conn.EndBody()
	g.Expect(budget.State().Used).To(gomega.BeNumerically("<", membudget.ConnectionBytes+32<<10))
	g.Expect(conn.ReserveHead([]byte(head))).To(gomega.Succeed())
}

// Guards against a trailer that the HTTP server parses anew for each byte that arrives.
func TestTrailersAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, conn, _ := bounded(t, 8<<20)
	_, err := io.WriteString(caller, shortFields(4000))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conn.BeginBody()
	_, err = fill(conn, "\r\n\r\n")
	g.Expect(err).To(gomega.MatchError(callerconn.ErrTrailerTooLarge))
}
