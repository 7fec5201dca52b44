//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"cicadaslip/internal/standin/metastore"
)

const (
	program     = "target/cicadaslipd"
	metricsPort = 9180 // of the deploy file
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
	readyPath   = "/cicadaslip/readyz"
	grace       = 8 * time.Second
	startLimit  = 25 * time.Second
	host        = "counter.example"
	model       = "base"
)

var zones = []string{"riga-a", "liepaja-a", "daugavpils-a"}

// settingsText holds the settings of a machine of the Baltzips deployment.
const settingsText = `node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = %q
internal_ports = [7380,7395]
seeds = [%q]
bootstrap = %t
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
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
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stability_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
outer_ms = 6000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 54
recovery_s = 12
pass_ms = 250
retry_after_s = 0
fencing_enforced = true
lease_ms = 3000
thaw_slack_ms = 300
ceiling_window_s = 5
origin_rate_overage = 1.1
version_ms = 5000
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// world is a deployment on loopback.
type world struct {
	trouble bool
	store   *metastore.Store
	dir     string
	vms     []*vm

	mu     sync.Mutex
	record io.Writer
	began  time.Time
	closed bool
}

func newWorld(record io.Writer, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%s is not built: %w", program, err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, record: record, began: time.Now()}
	w.note("trouble %t", trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// startStore starts the platform's store.
func (w *world) startStore() (err error) {
	w.store, err = metastore.Start("127.0.0.1:0")
	return err
}

// vm is one machine of the system.
type vm struct {
	w       *world
	name    string
	ip      string
	zone    string
	storeAt string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started int
}

func (v *vm) front() string { return net.JoinHostPort(v.ip, strconv.Itoa(frontPort)) }

// addVM prepares a machine that reaches the store at an address.
func (w *world) addVM(storeAt string) (*vm, error) {
	i := len(w.vms)
	ip, err := freeIP(i)
	if err != nil {
		return nil, err
	}
	v := &vm{w: w, name: vmName(i), ip: ip, zone: zones[i%len(zones)], storeAt: storeAt}
	w.vms = append(w.vms, v)
	return v, nil
}

func vmName(i int) string { return fmt.Sprintf("edge-%d", i+1) }

// freeIP returns an address of loopback on which the ports of a machine are free.
func freeIP(i int) (string, error) {
	pid := os.Getpid()
	for try := range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+(pid/250+try)%200, 1+pid%250, 1+i)
		free := true
		for _, port := range []int{metricsPort, frontPort, readyPort, controlPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no address of loopback with free ports")
}

// start starts the process of the machine with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := func(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }
	region := map[string]string{"riga-a": "riga", "liepaja-a": "kurzeme", "daugavpils-a": "latgale"}[v.zone]
	seed := net.JoinHostPort(v.w.vms[0].ip, strconv.Itoa(controlPort))
	text := fmt.Sprintf(settingsText, v.name, v.ip, v.zone, region, seed, v.started == 0, at(frontPort), at(readyPort), at(controlPort), v.storeAt)
	path := filepath.Join(v.w.dir, v.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "--edge", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADASLIP_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd = cmd
	v.started++
	v.w.note("%s started, pid %d", v.name, cmd.Process.Pid)
	return nil
}

// kill ends the process without notice.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
	v.cmd = nil
	v.w.note("%s killed", v.name)
}

// signal sends a signal to the process.
func (v *vm) signal(s os.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
		v.w.note("%s gets %v", v.name, s)
	}
}

// waitEnd waits until the process has ended, and kills it after a time.
func (v *vm) waitEnd(most time.Duration) error {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	timer := time.AfterFunc(most, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	err := cmd.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = nil
	v.w.note("%s has ended: %v", v.name, cmd.ProcessState)
	return err
}

// ready reports whether the machine says that it is ready.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(v.ip, strconv.Itoa(readyPort)) + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts machines and waits until all are ready.
func (w *world) startAll(count int, storeAt func(i int) string) error {
	for i := range count {
		if _, err := w.addVM(storeAt(i)); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return w.await(startLimit, "all machines ready", func() bool {
		for _, v := range w.vms {
			if !v.ready() {
				return false
			}
		}
		return true
	})
}

// await waits until something holds.
func (w *world) await(most time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			w.note("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not reached: %s", what)
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	done := w.closed
	w.closed = true
	w.mu.Unlock()
	if done {
		return
	}
	for _, v := range w.vms {
		v.kill()
	}
	if w.store != nil {
		w.store.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// route returns the entry of a route in the configuration.
func route(name, kind, service string, attempts int, timeout, aim time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": aim.Milliseconds(), "priority": 1, "service": service, "max_attempts": attempts,
		"resumable": kind == "streaming" && attempts > 1, "sticky": kind == "streaming", "gap_aim_ms": 600,
	}
}

// configure writes the configuration of the Baltzips deployment.
func (w *world) configure(version int, adapterSlots int) error {
	return w.configureEngine(version, map[string]any{
		"slots": 64, "kv_capacity_tokens": 242627, "stride": 4, "weights_mb": 74800.0, "adapter_slots": adapterSlots, "loads_per_s": 2.1,
		"models": []any{map[string]any{"name": model, "weights_mb": 72700.0, "load_time_s": 2.1, "adapters": 3000, "adapter_mb": 66.0}},
	})
}

// configureEngine writes the configuration with other model runners.
func (w *world) configureEngine(version int, engine map[string]any) error {
	routes := []map[string]any{
		route("quote", "streaming", "assistant-llm", 2, 6*time.Second, time.Second),
		route("notes", "streaming", "assistant-llm", 1, 12*time.Second, time.Second),
		route("booking", "non_idempotent", "counter-app", 1, 3*time.Second, 200*time.Millisecond),
		route("lookup", "idempotent", "counter-app", 2, 3*time.Second, 200*time.Millisecond),
	}
	return w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "assistant-llm", "health_path": "/healthz", "max_connections": 360, "engine": engine},
			map[string]any{"name": "counter-app", "health_path": "/healthz", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
