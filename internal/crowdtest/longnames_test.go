package crowdtest

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// stormTime is how long callers of a storm send requests one after another.
const stormTime = 6 * time.Second

// storm sends requests from some callers at once, each on a connection of its own that is closed soon
// after.
func (p *process) storm(callers int, request func(caller, n int) string) {
	var done sync.WaitGroup
	for caller := range callers {
		done.Go(func() {
			for n, end := 0, time.Now().Add(stormTime); time.Now().Before(end); n++ {
				conn, err := net.Dial("tcp", p.caller)
				if err != nil {
					continue // the process may refuse connections
				}
				_, _ = io.WriteString(conn, request(caller, n))
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
		})
	}
	done.Wait()
}

// Guards against a process that is ended by what it remembers of requests that have ended: their IDs, the
// adapters that they name, and the parts of their prompts.
func TestLongNamesOfManyRequests(t *testing.T) {
	const callers = 100
	long := func(caller, n int) string {
		return fmt.Sprint("x", caller, "-", n, "-") + repeated("x", maxHeadBytes-2*commonHeadBytes)
	}
	for name, request := range map[string]func(caller, n int) string{
		"request IDs": func(caller, n int) string { return prompt(long(caller, n), "a1", "a:1,b:1", "") },
		"adapters":    func(caller, n int) string { return prompt(fmt.Sprint(caller, "-", n), long(caller, n), "a:1,b:1", "") },
		"parts": func(caller, n int) string {
			return prompt(fmt.Sprint(caller, "-", n), "a1", "a:1,"+long(caller, n)+":1,own:1", "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := startWithModel(t, 1)[0]
			p.storm(callers, request)
			p.check(t)
		})
	}
}
