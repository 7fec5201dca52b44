//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "unframed".
const (
	unframedRunners  = 6
	unframedEvents   = 73 // of the kind of request "garment-read"
	unframedInterval = 25 * time.Millisecond
	eventInterval    = 20 * time.Millisecond
	beforeCrash      = 5 * time.Second
	afterCrash       = 5 * time.Second
	// The machine stands still for frozenTime. The runner crashes crashDelay after its beginning and
	// is back restartTime later.
	frozenTime  = 4 * time.Second
	crashDelay  = 300 * time.Millisecond
	restartTime = 2 * time.Second
	// lossTime is how long the opening packets to the crashed runner are lost. They are sent again
	// after a second.
	lossTime = 300 * time.Millisecond
)

// plainStreamer is a runner whose streams have neither a length nor chunks and end with their
// connection.
type plainStreamer struct {
	id       string
	born     int64
	record   *record
	listener *net.TCPListener
	beats    int64

	mu    sync.Mutex
	ended bool
	conns map[net.Conn]struct{} // of streams
	sent  map[string]int        // events by request
	whole map[string]bool       // requests whose stream was sent to its end
}

func newPlainStreamer(rec *record, id, address string) (*plainStreamer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &plainStreamer{
		id: id, born: time.Now().UnixMilli(), record: rec, listener: l.(*net.TCPListener),
		conns: map[net.Conn]struct{}{}, sent: map[string]int{}, whole: map[string]bool{},
	}
	go s.accept()
	return s, nil
}

// entry is the description of the runner in the store.
func (s *plainStreamer) entry(zone string) map[string]any {
	s.beats++
	return map[string]any{
		"service": llmService, "address": s.listener.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"sequence": s.beats, "cold_remaining_ms": 0, "born": s.born, "models": []any{s.model()},
	}
}

func (s *plainStreamer) model() map[string]any {
	return map[string]any{"name": modelName, "version": 1, "adapters": []string{}}
}

func (s *plainStreamer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *plainStreamer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	switch {
	case r.Header.Get("X-Expect-Instance") != s.id:
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return
	case strings.HasPrefix(r.URL.Path, "/cicadaslip/"): // a report; there are no adapters to order
		body, _ := json.Marshal(map[string]any{"models": []any{s.model()}, "busy": false, "sequence": 0, "born": s.born, "coming": []string{}})
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return
	}
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\nConnection: close\r\n\r\n", id, s.id, id)
	for n := 1; n <= unframedEvents; n++ {
		time.Sleep(eventInterval)
		if !s.sendEvent(conn, id, n) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.whole[id] = !s.ended
}

// sendEvent writes one event. It reports false if the runner has ended or its caller has left.
func (s *plainStreamer) sendEvent(conn net.Conn, id string, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s.%d\n\n", n, id, n); err != nil {
		return false
	}
	s.sent[id] = n
	return true
}

// crash ends the runner as the end of its process does: its kernel closes the listener and the
// connections. With lost opening packets the answers to new connections come after a time only.
func (s *plainStreamer) crash(lost bool) error {
	reopened := func() {}
	if lost {
		var err error
		if reopened, err = loseOpenings(s.listener); err != nil {
			return err
		}
	} else {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	s.ended = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.record.printf("%s has crashed with %d streams at work", s.id, len(s.conns))
	s.mu.Unlock()
	time.AfterFunc(lossTime, reopened)
	return nil
}

// loseOpenings makes the packets that open connections to a listener get lost: nothing accepts
// them, and the queue for them is full. The function that it returns ends that: from then on the
// port has no listener.
func loseOpenings(l *net.TCPListener) (end func(), err error) {
	file, err := l.File()
	if err != nil {
		return nil, err
	}
	address := l.Addr().String()
	_ = l.Close() // the copy keeps the port open
	if err := syscall.Listen(int(file.Fd()), 0); err != nil {
		return nil, err
	}
	var queued []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return func() {
				_ = file.Close()
				for _, c := range queued {
					_ = c.Close()
				}
			}, nil
		}
		queued = append(queued, c)
	}
	return nil, errors.New("the queue for new connections of a listener does not fill up")
}

// askEvents sends a request and reads the answer. It returns the status, the number of events, and
// whether the answer looks complete.
func askEvents(v *vm, q request) (status, events int, complete bool) {
	conn, err := net.DialTimeout("tcp", v.front(), time.Second)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(conn, q.head()); err != nil {
		return 0, 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, false
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(body), "\n\n"), err == nil
}

// playUnframed freezes a machine, and crashes a runner meanwhile, which is back before the machine.
// Without trouble neither happens. TROUBLE=crash leaves the freeze out, TROUBLE=freeze the crash.
// TROUBLE=lossy crashes the runner while packets to it get lost, without a freeze.
func playUnframed(rec *record, trouble string) (bool, error) {
	freezes := trouble != noTrouble && trouble != "crash" && trouble != "lossy"
	crashes := trouble != noTrouble && trouble != "freeze"
	d, err := newDeployment(rec, true)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.configure(headerLimit); err != nil {
		return false, err
	}
	fleet, err := newStreamers(d)
	if err != nil {
		return false, err
	}
	if err := d.startVMs(3); err != nil {
		return false, err
	}
	callers := &eventCallers{deployment: d, stop: make(chan struct{})}
	callers.wait.Go(callers.run)
	fleet.keepRegistered(beforeCrash)
	frozen := d.vms[0]
	if freezes {
		callers.avoid(frozen)
		rec.printf("%s stands still", frozen.name)
		_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(frozenTime, func() {
			rec.printf("%s goes on", frozen.name)
			_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	fleet.keepRegistered(crashDelay)
	if crashes {
		if err := fleet.runners[0].crash(trouble == "lossy"); err != nil {
			return false, err
		}
		d.store.Remove("servers", fleet.runners[0].id)
	}
	fleet.keepRegistered(restartTime)
	if crashes {
		if err := fleet.restart(0); err != nil {
			return false, err
		}
	}
	fleet.keepRegistered(frozenTime - restartTime - crashDelay + afterCrash)
	close(callers.stop)
	callers.wait.Wait()
	fleet.close()
	rec.printf("%d requests got whole streams, %d got streams that end early and look complete", callers.served, callers.falselyWhole)
	if callers.served == 0 {
		return false, errors.New("nothing was served")
	}
	return callers.falselyWhole > 0, nil
}

// streamers are the runners of a deployment.
type streamers struct {
	deployment *deployment
	runners    []*plainStreamer
	ended      []*plainStreamer
}

func newStreamers(d *deployment) (*streamers, error) {
	f := &streamers{deployment: d}
	for i := range unframedRunners {
		s, err := newPlainStreamer(d.record, fmt.Sprintf("i-%08x", i+1), "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		f.runners = append(f.runners, s)
	}
	f.keepRegistered(0)
	return f, nil
}

// restart starts a runner again that has crashed, at its address, with a new id.
func (f *streamers) restart(i int) error {
	old := f.runners[i]
	s, err := newPlainStreamer(f.deployment.record, old.id+"b", old.listener.Addr().String())
	if err != nil {
		return err
	}
	f.deployment.record.printf("%s is back as %s", old.id, s.id)
	f.runners[i], f.ended = s, append(f.ended, old)
	return nil
}

// keepRegistered writes the descriptions of the runners that live, again and again for a time.
func (f *streamers) keepRegistered(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(min(time.Second, time.Until(end))) {
		for i, s := range f.runners {
			s.mu.Lock()
			if !s.ended {
				_ = f.deployment.store.Put("servers", s.id, s.entry(zones[i%len(zones)]))
			}
			s.mu.Unlock()
		}
		if !time.Now().Before(end) {
			return
		}
	}
}

func (f *streamers) close() {
	for _, s := range append(f.ended, f.runners...) {
		s.mu.Lock()
		f.deployment.record.printf("%s has begun %d streams and sent %d to their end", s.id, len(s.sent), len(s.whole))
		s.mu.Unlock()
		_ = s.listener.Close()
	}
}

// eventCallers send requests and check the answers.
type eventCallers struct {
	deployment *deployment
	stop       chan struct{}
	wait       sync.WaitGroup

	mu           sync.Mutex
	avoided      *vm
	served       int // whole streams
	falselyWhole int // streams that end early and look complete
}

// avoid makes later requests go to other machines, as the platform does with one that is not ready.
func (c *eventCallers) avoid(v *vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided = v
}

func (c *eventCallers) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(unframedInterval):
		}
		v := c.deployment.vms[n%len(c.deployment.vms)]
		c.mu.Lock()
		avoided := v == c.avoided
		c.mu.Unlock()
		if !avoided {
			c.wait.Go(func() { c.ask(n, v) })
		}
	}
}

func (c *eventCallers) ask(n int, v *vm) {
	q := request{id: nextID(), tokens: 826, events: unframedEvents, parts: blocks(2*n, 2, 413), deadline: 15 * time.Second, more: "Connection: close\r\n"}
	status, events, complete := askEvents(v, q)
	c.deployment.record.printf("%s to %s: status %d, %d of %d events, looks complete %t", q.id, v.name, status, events, unframedEvents, complete)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status != http.StatusOK || !complete:
	case events < unframedEvents:
		c.falselyWhole++
		c.deployment.record.printf("  ORDER: %s looks complete and lacks its last %d events", q.id, unframedEvents-events)
	default:
		c.served++
	}
}
