package crowdtest

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
)

// prompt returns a request for a stream, with further header lines.
func prompt(id, adapter, parts, fields string) string {
	return "POST " + chat + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Model: " + model + "/" + adapter +
		"\r\nX-Token-Usage: 1,1\r\nX-Prompt-Prefix: " + parts + "\r\nX-Deadline-Ms: 20000\r\n" + fields + "Content-Length: 0\r\n\r\n"
}

// Guards against the owner of a group that is ended by the prompts that wait there, sent by callers of
// several VMs: the owner holds their parts, and only the other VMs have counted them.
func TestPromptsOfManyPartsAtAnOwner(t *testing.T) {
	const vms, perVM = 7, 100
	all := startWithModel(t, vms)
	parts := repeated("a,", maxHeadBytes-2*commonHeadBytes)
	var done sync.WaitGroup
	for n, p := range all {
		done.Go(func() {
			p.crowd(t, perVM, func(i int, conn net.Conn) {
				_, _ = io.WriteString(conn, prompt(fmt.Sprint("p", n, "-", i), "a1", parts, ""))
				readAnswers(conn)
			})
		})
	}
	done.Wait()
	for _, p := range all {
		p.check(t)
	}
}
