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

// vm is one entry VM: its settings stay, its process comes and goes.
type vm struct {
	name    string
	caller  string
	ready   string
	peer    string
	store   *linkproxy.Proxy
	dir     string
	program string

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	paused bool
}

const settingsText = `node_name = %q
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
drain_ms = 2500
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 54
lease_ms = 3000
fencing_enforced = %t
[platform]
address = %q
`

var zones = []string{"riga-a", "liepaja-a", "daugavpils-a"}

// Ports of a VM, on an address of loopback of its own, so that restarts find them
// free.
const (
	callerPort = 7001
	readyPort  = 7002
	peerPort   = 7003
)

func newVM(seed uint64, i int, checkFences bool, program, dir, store string) (*vm, error) {
	p, err := linkproxy.New(store)
	if err != nil {
		return nil, err
	}
	v := &vm{name: fmt.Sprintf("vm%d", i), program: program, dir: dir, store: p}
	ip := fmt.Sprintf("127.77.%d.%d", 1+seed%250, 1+i)
	v.caller, v.ready, v.peer = address(ip, callerPort), address(ip, readyPort), address(ip, peerPort)
	zone := zones[i%len(zones)]
	text := fmt.Sprintf(settingsText, v.name, zone, zone, v.caller, v.ready, v.peer, checkFences, p.Address())
	return v, os.WriteFile(v.path("toml"), []byte(text), 0o600)
}

func (v *vm) path(kind string) string { return filepath.Join(v.dir, v.name+"."+kind) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts the process. Its log goes to a file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
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
	v.cmd, v.paused = cmd, false
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
	switch s {
	case syscall.SIGSTOP:
		v.paused = true
	case syscall.SIGCONT:
		v.paused = false
	}
	_ = v.cmd.Process.Signal(s) // it may have ended meanwhile
}

// restart signals the process, waits for its end and starts it again.
func (v *vm) restart(s syscall.Signal) error {
	v.stop(s)
	return v.start()
}

// stop ends the process and waits for it.
func (v *vm) stop(s syscall.Signal) {
	v.signal(syscall.SIGCONT)
	v.signal(s)
	v.mu.Lock()
	cmd := v.cmd
	v.cmd = nil
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	kill := time.AfterFunc(10*time.Second, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	_ = cmd.Wait() // the exit code of a killed process says nothing
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
