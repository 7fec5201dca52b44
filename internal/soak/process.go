package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/linkproxy"
)

// vm is one entry VM: its settings stay except for bootstrap, its process comes and goes.
type vm struct {
	name    string
	caller  string
	ready   string
	peer    string
	store   *linkproxy.Proxy
	dir     string
	program string
	// settings returns the text of the settings, given whether the whole system starts for the
	// first time.
	settings func(bootstrap bool) string

	timeline   timeline
	restarting sync.Mutex

	mu       sync.Mutex
	cmd      *exec.Cmd
	starts   int
	stopping bool // the process has got the signal that ends it, and somebody waits for its end
	// ownEnds are the states of processes that ended otherwise than by the signals sent.
	ownEnds []string
	thaw    func()  // records the end of a pause, nil if the process is not paused
	memory  float64 // most memory that a process has used, in MB
}

// grace is the time from SIGTERM until the process is killed.
const grace = 8 * time.Second

const settingsText = `node_name = %q
bootstrap = %t
role = "entry"
ip = "127.0.0.1"
zone = %q
region = %q
internal_ports = [1, 2]
seeds = []
[zones]
riga-a = "riga"
liepaja-a = "kurzeme"
daugavpils-a = "latgale"
[listen]
front = %q
ready = %q
control = %q
[bounds]
drain_ms = %d
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = %d
quota_window_s = %v
quota_overage = %v
quota_slack = %d
lease_ms = 3000
fencing_enforced = %t
[platform]
address = %q
`

// hardLoadText are the further settings of runs with Options.HardLoad.
const hardLoadText = `[limits]
memory_mb = %d
max_fds = %d
`

var zones = []string{"riga-a", "liepaja-a", "daugavpils-a"}

// vmAddress returns an address of loopback for a VM of a run.
func vmAddress(seed uint64, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 77+seed/250%100, 1+seed%250, i)
}

// Ports of a VM, on an address of loopback of its own, so that restarts find them
// free.
const (
	lockPort   = 7000 // of the first address, held while a run lasts
	callerPort = 7001
	readyPort  = 7002
	peerPort   = 7003
)

func (r *run) newVM(i int) (*vm, error) {
	p, err := linkproxy.New(r.store.Address())
	if err != nil {
		return nil, err
	}
	v := &vm{name: fmt.Sprintf("vm%d", i), program: r.options.Program, dir: r.options.Dir, store: p}
	ip := vmAddress(r.options.Seed, 1+i)
	v.caller, v.ready, v.peer = address(ip, callerPort), address(ip, readyPort), address(ip, peerPort)
	zone := zones[i%len(zones)]
	v.settings = func(bootstrap bool) string {
		text := fmt.Sprintf(settingsText, v.name, bootstrap, zone, zone, v.caller, v.ready, v.peer,
			drain.Milliseconds(), r.extraRetries(), quotaWindow.Seconds(), quotaOverage, quotaSlack, r.checkFences(), p.Address())
		if r.options.HardLoad {
			text += fmt.Sprintf(hardLoadText, memoryMB, descriptors)
		}
		return text
	}
	return v, nil
}

func (v *vm) path(kind string) string { return filepath.Join(v.dir, v.name+"."+kind) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts the process. Its log goes to a file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := os.WriteFile(v.path("toml"), []byte(v.settings(v.starts == 0)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(v.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(v.program, "--edge", "--log-lines", "100000", "--log-bytes", "100000000")
	cmd.Env = append(os.Environ(), "CICADASLIP_CONFIG="+v.path("toml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.thaw = cmd, nil
	v.starts++
	return nil
}

// signal sends a signal to the process of this VM.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return
	}
	switch {
	case s == syscall.SIGSTOP && v.thaw == nil:
		v.thaw = v.timeline.begin(frozen)
	case s == syscall.SIGCONT && v.thaw != nil:
		v.thaw()
		v.thaw = nil
	}
	_ = v.cmd.Process.Signal(s) // it may have ended meanwhile
}

// restart signals the process, waits for its end and starts it again, unless another restart
// is under way.
func (v *vm) restart(s syscall.Signal) error {
	if !v.restarting.TryLock() {
		v.signalStopping(s)
		return nil
	}
	defer v.restarting.Unlock()
	defer v.timeline.begin(restarted)()
	v.stop(s)
	return v.start()
}

// signalStopping sends a signal to the process if it is being stopped. A process that has
// just been started would end without anybody to start it again.
func (v *vm) signalStopping(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		_ = v.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// stop ends the process and waits for it.
func (v *vm) stop(s syscall.Signal) {
	v.signal(syscall.SIGCONT)
	v.mu.Lock()
	v.noteMemory()
	v.mu.Unlock()
	v.signal(s)
	v.mu.Lock()
	cmd := v.cmd
	v.stopping = cmd != nil
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	kill := time.AfterFunc(grace, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	_ = cmd.Wait() // endedByItself reads the state
	v.mu.Lock()
	if endedByItself(s, cmd.ProcessState) {
		v.ownEnds = append(v.ownEnds, cmd.ProcessState.String())
	}
	v.cmd, v.stopping = nil, false
	v.mu.Unlock()
}

// endedByItself reports whether a process had another end than the signal that was sent.
func endedByItself(sent syscall.Signal, state *os.ProcessState) bool {
	status, known := state.Sys().(syscall.WaitStatus)
	switch {
	case !known:
		return false
	case status.Exited():
		return sent == killSignal || status.ExitStatus() != 0
	}
	return status.Signal() != syscall.SIGKILL && status.Signal() != syscall.SIGTERM
}

// checkProcesses checks that no process ended by itself.
func (r *run) checkProcesses() {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for _, v := range r.vms {
		v.mu.Lock()
		for _, state := range v.ownEnds {
			r.checker.fail("a process of %s ended by itself: %s", v.name, state)
		}
		v.mu.Unlock()
	}
}

// end kills the process for good, after a restart that is under way.
func (v *vm) end() {
	v.restarting.Lock()
	v.stop(killSignal)
	v.store.Close()
}

// resetLink resets the connections to the store.
func (v *vm) resetLink() {
	v.timeline.begin(cut)()
	v.store.Reset()
}

// incarnation numbers the starts of the process.
func (v *vm) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + engine.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
