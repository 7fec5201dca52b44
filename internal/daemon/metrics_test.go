package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/config"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/model"
	"cicadaslip/internal/settings"
	"cicadaslip/internal/standin/platform"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/testcluster"
)

const (
	testToken   = "token-of-the-test"
	testAdapter = "baltzips/shop-1@v1"
)

// Guards against a metric that is defined in the metrics package but never set by
// the daemon.
func TestEveryMetricHasASource(t *testing.T) {
	g := gomega.NewWithT(t)
	definitions, err := os.ReadFile("../metrics/definitions.go")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	files, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var sources strings.Builder
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil && !strings.HasSuffix(file, "_test.go") {
			sources.Write(text)
		}
	}
	names := regexp.MustCompile(`(?m)^\t(\w+) +Name = `).FindAllStringSubmatch(string(definitions), -1)
	g.Expect(names).To(gomega.HaveLen(len(metrics.Definitions)))
	for _, name := range names {
		g.Expect(regexp.MustCompile(`metrics\.`+name[1]+`\b`).MatchString(sources.String())).To(gomega.BeTrue(), name[1])
	}
}

// testDaemon is a daemon that runs in the test process with stand-ins for the
// platform and a runner.
type testDaemon struct {
	g        *gomega.WithT
	daemon   *Daemon
	platform *platform.Server
	stop     chan struct{}
	runErr   chan error
}

// startTestDaemon starts the stand-ins and a daemon.
func startTestDaemon(t *testing.T) *testDaemon {
	d := &testDaemon{g: gomega.NewWithT(t), platform: platform.New(), stop: make(chan struct{}), runErr: make(chan error, 1)}
	store, engines := d.listen(), d.listen()
	engine := runner.New(runner.Config{Name: "runner-1", LoadTime: time.Millisecond, TokenInterval: time.Millisecond, CheckFencing: true})
	go func() { _ = d.platform.Serve(store) }()
	go func() { _ = engine.Serve(engines) }()
	t.Cleanup(func() {
		engine.Close()
		d.g.Expect(d.platform.Close()).To(gomega.Succeed())
	})
	d.platform.List.Set(model.Listing{
		VMs: []model.ListedVM{{Name: "vm-1"}},
		Targets: []model.Target{{
			Name: "runner-1", Class: model.ClassRunner, DataCentre: "riga", Region: "riga", BaseModel: "base-7b",
			Address: engines.Addr().String(), Slots: 4, Concurrency: 8, ChecksFencing: true,
		}},
	})
	_, err := config.Publish(t.Context(), d.platform.Store, testDocument(), 0)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	s := settings.Default()
	s.VM = settings.VM{Name: "vm-1", DataCentre: "riga", Region: "riga"}
	s.Addresses = settings.Addresses{Caller: "127.0.0.1:0", PeerRPC: "127.0.0.1:0", PeerUDP: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	s.Cluster.Secret = strings.Repeat("s", 32)
	s.Platform.Address = store.Addr().String()
	s.Platform.ListInterval = 50 * time.Millisecond
	d.daemon, err = New(s, zerolog.Nop())
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { d.runErr <- d.daemon.Run(d.stop) }()
	return d
}

// listen opens a TCP listener on a free port of the loopback interface.
func (d *testDaemon) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	return l
}

func testDocument() *config.Document {
	hash := sha256.Sum256([]byte(testToken))
	return &config.Document{
		BaseModels: []string{"base-7b"}, LoadRate: 100,
		Organisations: []config.Organisation{{Name: "baltzips", CredentialSHA256: hex.EncodeToString(hash[:]), Share: 1}},
		Adapters:      []config.Adapter{{Organisation: "baltzips", Name: "shop-1", BaseModel: "base-7b", Versions: []string{"v1"}}},
	}
}

// readMetrics reads the metrics by HTTP, as a collector does.
func (d *testDaemon) readMetrics() map[string]any {
	response, err := http.Get("http://" + d.daemon.metricsListener.Addr().String() + "/debug/vars")
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var page struct{ Cicadaslip map[string]any }
	d.g.Expect(json.NewDecoder(response.Body).Decode(&page)).To(gomega.Succeed())
	return page.Cicadaslip
}

// waitForMetric waits until a metric has a value.
func (d *testDaemon) waitForMetric(name metrics.Name, value float64) {
	for d.readMetrics()[string(name)] != value {
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a metrics endpoint whose values do not reflect the requests, the
// adapter load and the store calls of the daemon.
func TestMetricsOfOneDaemon(t *testing.T) {
	d := startTestDaemon(t)
	g := d.g
	d.waitForMetric(metrics.ConfigVersion, 1)
	d.waitForMetric(metrics.GroupsOwned, 1)
	caller := testcluster.Caller{Address: d.daemon.listener.Addr().String(), Token: testToken, Timeout: time.Minute}
	answer, err := caller.Complete(testAdapter, "The zipper is stuck.", 4, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Status).To(gomega.Equal(http.StatusOK), string(answer.Body))
	caller.Token = "wrong"
	refused, err := caller.Complete(testAdapter, "Hello.", 4, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	code, _ := refused.Error()
	d.waitForMetric(metrics.PermitsHeld, 0)

	values := d.readMetrics()
	g.Expect(values).To(gomega.HaveLen(len(metrics.Definitions)))
	g.Expect(values["requests_by_outcome"]).To(gomega.Equal(map[string]any{"ok": 1.0, code: 1.0}))
	g.Expect(values["adapter_loads_by_outcome"]).To(gomega.Equal(map[string]any{"ok": 1.0}))
	g.Expect(values["peers_by_state"]).To(gomega.HaveKeyWithValue("alive", 1.0))
	g.Expect(values["store_calls_by_outcome"]).To(gomega.HaveKey("ok"))
	for _, name := range []metrics.Name{metrics.AdapterWaits, metrics.GroupTakeovers} {
		g.Expect(values[string(name)]).To(gomega.Equal(1.0), string(name))
	}
	for _, name := range []metrics.Name{
		metrics.RequestLatency, metrics.FirstTokenLatency, metrics.TokenGap, metrics.QueueWait, metrics.AdapterWait,
	} {
		g.Expect(values[string(name)]).To(gomega.HaveKeyWithValue("count", 1.0), string(name))
	}
	close(d.stop)
	g.Expect(<-d.runErr).To(gomega.Succeed())
}
