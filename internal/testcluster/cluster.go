package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore/httpstore"
	"cicadaslip/internal/owner"
)

// DataCentre is one data centre with its VMs and targets.
type DataCentre struct {
	Name     string
	Region   string
	VMs      int
	Runners  int
	Services int
}

// Options describe a cluster.
type Options struct {
	BinDir        string // directory of the built programs
	WorkDir       string // for settings and logs
	DataCentres   []DataCentre
	BaseModel     string
	Application   string
	Slots         int
	Concurrency   int
	TokenInterval time.Duration
	LoadTime      time.Duration
	ListLag       time.Duration
	IgnoreFencing bool // runners do not check fencing tokens
	Shutdown      time.Duration
}

// Cluster is a running deployment.
type Cluster struct {
	Options  Options
	Platform *Process
	Store    *httpstore.Client

	mu       sync.Mutex
	Daemons  map[string]*Process
	Targets  map[string]*Process
	settings map[string]string
	listing  model.Listing
	vms      map[string]DataCentre
}

const (
	secret      = "loopback-cluster-secret-0123456789"
	readyPoll   = 50 * time.Millisecond
	httpTimeout = 10 * time.Second
)

// Start starts the platform's stand-in, the targets and the daemons. It returns
// when all are started; WaitReady waits until they serve.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{
		Options: options, Daemons: map[string]*Process{}, Targets: map[string]*Process{},
		settings: map[string]string{}, vms: map[string]DataCentre{},
	}
	if err := c.startAll(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll() error {
	var err error
	c.Platform, err = start(c.Options.BinDir, "standin-platform", "platform", c.Options.WorkDir, true,
		"--list-lag", c.Options.ListLag.String())
	if err != nil {
		return err
	}
	c.Store = httpstore.New(httpstore.Options{Address: c.Platform.Address})
	for _, dc := range c.Options.DataCentres {
		if err := c.startTargets(dc); err != nil {
			return err
		}
	}
	for _, dc := range c.Options.DataCentres {
		for i := 1; i <= dc.VMs; i++ {
			name := fmt.Sprintf("vm-%s-%d", dc.Name, i)
			c.vms[name] = dc
			c.listing.VMs = append(c.listing.VMs, model.ListedVM{Name: name})
		}
	}
	if err := c.PublishList(); err != nil {
		return err
	}
	for name := range c.vms {
		if err := c.StartDaemon(name); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startTargets(dc DataCentre) error {
	for i := 1; i <= dc.Runners; i++ {
		name := fmt.Sprintf("runner-%s-%d", dc.Name, i)
		args := []string{
			"--name", name, "--slots", fmt.Sprint(c.Options.Slots), "--concurrency", fmt.Sprint(c.Options.Concurrency),
			"--token-interval", c.Options.TokenInterval.String(), "--load-time", c.Options.LoadTime.String(),
		}
		if !c.Options.IgnoreFencing {
			args = append(args, "--check-fencing")
		}
		err := c.startTarget("standin-runner", args, model.Target{
			Name: name, Class: model.ClassRunner, DataCentre: dc.Name, Region: dc.Region, BaseModel: c.Options.BaseModel,
			Slots: c.Options.Slots, Concurrency: c.Options.Concurrency, ChecksFencing: !c.Options.IgnoreFencing,
		})
		if err != nil {
			return err
		}
	}
	for i := 1; i <= dc.Services; i++ {
		err := c.startTarget("standin-service", nil, model.Target{
			Name: fmt.Sprintf("service-%s-%d", dc.Name, i), Class: model.ClassService, DataCentre: dc.Name,
			Region: dc.Region, Application: c.Options.Application, Concurrency: c.Options.Concurrency,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startTarget(program string, args []string, target model.Target) error {
	p, err := start(c.Options.BinDir, program, target.Name, c.Options.WorkDir, true, args...)
	if err != nil {
		return err
	}
	target.Address = p.Address
	c.Targets[target.Name] = p
	c.listing.Targets = append(c.listing.Targets, target)
	return nil
}

// StartDaemon starts the daemon of a VM, or starts it again.
func (c *Cluster) StartDaemon(name string) error {
	dc := c.vms[name]
	path := filepath.Join(c.Options.WorkDir, name+".yaml")
	text := fmt.Sprintf(`vm:
  name: %s
  data_centre: %s
  region: %s
addresses:
  caller: "127.0.0.1:0"
  peer_rpc: "127.0.0.1:0"
  peer_udp: "127.0.0.1:0"
  metrics: "127.0.0.1:0"
cluster:
  secret: %s
platform:
  address: "%s"
  list_interval: 200ms
shutdown:
  limit: %s
`, name, dc.Name, dc.Region, secret, c.Platform.Address, c.Options.Shutdown)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errs.Wrap(err, errs.Internal, "write settings")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings[name] = path
	p, err := start(c.Options.BinDir, "cicadaslipd", name, c.Options.WorkDir, false, "--settings", path)
	if err != nil {
		return err
	}
	c.Daemons[name] = p
	return nil
}

// Settings returns the settings file of a VM.
func (c *Cluster) Settings(name string) string { return c.settings[name] }

// Daemon returns the process of a VM's daemon.
func (c *Cluster) Daemon(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Daemons[name]
}

// VMs returns the names of the VMs in the order of the list.
func (c *Cluster) VMs() []string {
	names := make([]string, 0, len(c.listing.VMs))
	for _, vm := range c.listing.VMs {
		names = append(names, vm.Name)
	}
	return names
}

// PublishList sends the list of VMs and targets to the platform's stand-in.
func (c *Cluster) PublishList() error {
	c.mu.Lock()
	body, err := json.Marshal(c.listing)
	c.mu.Unlock()
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode list")
	}
	return c.Control(http.MethodPut, c.Platform.Address, "/control/list", body)
}

// Listing returns the list as last published.
func (c *Cluster) Listing() model.Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listing
}

// Runners returns the listed model runners.
func (c *Cluster) Runners() []model.Target {
	var runners []model.Target
	for _, target := range c.Listing().Targets {
		if target.Class == model.ClassRunner {
			runners = append(runners, target)
		}
	}
	return runners
}

// SetLeaving marks a target as leaving and publishes the list.
func (c *Cluster) SetLeaving(target string) error {
	c.mu.Lock()
	for i := range c.listing.Targets {
		if c.listing.Targets[i].Name == target {
			c.listing.Targets[i].Leaving = true
		}
	}
	c.mu.Unlock()
	return c.PublishList()
}

// RemoveVM takes a VM off the list, as the platform does when it is destroyed.
func (c *Cluster) RemoveVM(name string) error {
	c.mu.Lock()
	kept := c.listing.VMs[:0]
	for _, vm := range c.listing.VMs {
		if vm.Name != name {
			kept = append(kept, vm)
		}
	}
	c.listing.VMs = kept
	c.mu.Unlock()
	return c.PublishList()
}

// Control sends a control request to a stand-in.
func (c *Cluster) Control(method, address, path string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err, errs.Internal, "build control request")
	}
	client := http.Client{Timeout: httpTimeout}
	response, err := client.Do(request)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "control request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return errs.New(errs.Internal, "control request refused: "+response.Status)
	}
	return nil
}

// Address returns where a VM takes callers' requests, as it registered it.
func (c *Cluster) Address(ctx context.Context, vm string) (string, error) {
	object, err := c.Store.Get(ctx, owner.VMKeyPrefix+vm, 0)
	if err != nil {
		return "", err
	}
	var registered model.VM
	if err := json.Unmarshal(object.Value, &registered); err != nil {
		return "", errs.Wrap(err, errs.InvalidMessage, "decode registration")
	}
	return registered.CallerAddr, nil
}

// WaitReady waits until a VM takes requests.
func (c *Cluster) WaitReady(ctx context.Context, vm string) error {
	for {
		if address, err := c.Address(ctx, vm); err == nil && isReady(address) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errs.New(errs.Timeout, vm+" did not become ready")
		case <-time.After(readyPoll):
		}
	}
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all processes.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.Daemons {
		p.Kill()
	}
	for _, p := range c.Targets {
		p.Kill()
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
}
