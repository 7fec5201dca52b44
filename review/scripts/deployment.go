//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/linkproxy"
	"cicadaslip/internal/standin/metastore"
)

// program and its arguments are those of deploy/system.toml.
const (
	program     = "target/cicadaslipd"
	metricsPort = "9180"
)

// Ports of a VM, on an address of loopback of its own.
const (
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
)

const (
	startLimit = 25 * time.Second
	// memoryMB is the memory of a machine of the small deployments.
	memoryMB = 284
)

// settingsText has the fields and figures of the small deployments' settings that the program
// reads.
const settingsText = `node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = %q
zone = %q
region = %q
internal_ports = [7380, 7395]
seeds = []
bootstrap = %t
heartbeat_ms = 1200
[zones]
riga-a = "riga"
liepaja-a = "kurzeme"
daugavpils-a = "latgale"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
[bounds]
drain_ms = 2500
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 54
fencing_enforced = %t
lease_ms = 3000
thaw_slack_ms = 300
[platform]
address = %q
form = "objects"
`

var zones = []string{"riga-a", "liepaja-a", "daugavpils-a"}

var regions = map[string]string{"riga-a": "riga", "liepaja-a": "kurzeme", "daugavpils-a": "latgale"}

// vm is one machine of the system with its process.
type vm struct {
	name   string
	ip     string
	zone   string
	link   *linkproxy.Proxy // to the store
	cmd    *exec.Cmd
	starts int           // of the process
	ended  chan struct{} // closed when the process has ended
}

func (v *vm) front() string { return net.JoinHostPort(v.ip, strconv.Itoa(frontPort)) }

// deployment is a store, runners and machines of the system.
type deployment struct {
	record  *record
	dir     string // for settings and logs
	fenced  bool   // runners refuse lower fencing tokens
	store   *metastore.Store
	vms     []*vm
	engines []*engine.Target

	mu       sync.Mutex
	peakMB   map[string]float64
	stopping bool
	ownEnds  []string // processes that ended by themselves
}

// newDeployment returns a deployment with an empty store.
func newDeployment(rec *record, fenced bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the system is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-scripts-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, dir: dir, fenced: fenced, peakMB: map[string]float64{}}
	d.store, err = metastore.Start("127.0.0.1:0")
	return d, err
}

// freeBlock returns the first three numbers of addresses of loopback on which the ports of a VM
// are free.
func freeBlock(vms int) (string, error) {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for i := range vms {
			for _, port := range []string{strconv.Itoa(frontPort), strconv.Itoa(readyPort), strconv.Itoa(controlPort), metricsPort} {
				l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("%s.%d", block, i+1), port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return block, nil
		}
	}
	return "", errors.New("no free addresses of loopback")
}

// startVMs starts the processes and waits until all say that they are ready.
func (d *deployment) startVMs(count int) error {
	block, err := freeBlock(count)
	if err != nil {
		return err
	}
	for i := range count {
		link, err := linkproxy.New(d.store.Address())
		if err != nil {
			return err
		}
		v := &vm{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", block, i+1), zone: zones[i%len(zones)], link: link}
		d.vms = append(d.vms, v)
		if err := d.start(v); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startLimit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range d.vms {
			if isReady(v) {
				ready++
			}
		}
		if ready == count {
			d.record.printf("%d processes are ready", count)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d processes are ready after %s", ready, count, startLimit)
		}
	}
}

func isReady(v *vm) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(v.ip, strconv.Itoa(readyPort)) + engine.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts the process of a VM with the command of the deploy file.
func (d *deployment) start(v *vm) error {
	path := filepath.Join(d.dir, v.name+".toml")
	listen := func(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }
	text := fmt.Sprintf(settingsText, v.name, v.ip, v.zone, regions[v.zone], v.starts == 0, listen(frontPort), listen(readyPort), listen(controlPort), memoryMB, d.fenced, v.link.Address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.cmd = exec.Command(program, "--edge", "--metrics-port", metricsPort)
	v.cmd.Env = append(os.Environ(), "CICADASLIP_CONFIG="+path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the case is killed
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.starts++
	cmd, ended := v.cmd, make(chan struct{})
	v.ended = ended
	go func() {
		defer close(ended)
		_ = cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.stopping {
			d.ownEnds = append(d.ownEnds, v.name+": "+cmd.ProcessState.String())
			d.record.printf("the process of %s has ended: %s", v.name, cmd.ProcessState)
		}
	}()
	return nil
}

// close ends everything that the case started. The logs of the processes stay if KEEP is set.
func (d *deployment) close() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	for _, v := range d.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			_ = v.cmd.Process.Kill()
			<-v.ended
		}
		v.link.Close()
	}
	for _, t := range d.engines {
		t.Crash()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// residentMB returns the memory that a process uses, in millions of bytes, as the system's page
// on it tells.
func (v *vm) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kib, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kib * 1024 / 1e6
		}
	}
	return 0
}

// sampleMemory notes the most memory of each process.
func (d *deployment) sampleMemory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		d.peakMB[v.name] = max(d.peakMB[v.name], v.residentMB())
	}
}

// watchMemory samples the memory until stop is closed.
func (d *deployment) watchMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			d.sampleMemory()
		}
	}
}

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// keepWithinMemory does what the platform does until stop is closed: it kills a process that exceeds
// the memory of its machine, and starts it again.
func (d *deployment) keepWithinMemory(stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		for _, v := range d.vms {
			used := v.residentMB()
			d.peakMB[v.name] = max(d.peakMB[v.name], used)
			if used <= memoryMB {
				continue
			}
			d.record.printf("%s uses %.0f MB of %d and is killed", v.name, used, memoryMB)
			_ = v.cmd.Process.Kill()
			<-v.ended
			time.Sleep(restartDelay)
			if err := d.start(v); err != nil {
				return err
			}
		}
	}
}

// overMemory reports whether a process used more memory than its machine has, or ended by
// itself, and notes what each used.
func (d *deployment) overMemory() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	over := len(d.ownEnds) > 0
	for _, v := range d.vms {
		peak := d.peakMB[v.name]
		d.record.printf("%s used %.0f MB at most, its machine has %d MB", v.name, peak, memoryMB)
		over = over || peak > memoryMB
	}
	return over
}
