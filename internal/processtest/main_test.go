package processtest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/config"
	"cicadaslip/internal/testcluster"

	"cicadaslip/declare"
)

var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "cicadaslip-bin-")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "cicadaslip/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, err
	}
	binDir = dir
	return m.Run(), nil
}

const (
	token       = "process-test-token"
	org         = "riga"
	base        = "base"
	application = "booking"
	booking     = "repair-booking"
	lookup      = "stock-lookup"
	// testLimit ends a test that hangs. It is no bound on what is measured.
	testLimit    = time.Minute
	callLimit    = 30 * time.Second
	adapterCount = 6
)

func adapterName(i int) string { return fmt.Sprintf("%s/maker-%d@v1", org, i%adapterCount) }

func document() *config.Document {
	d := &config.Document{
		BaseModels: []string{base}, LoadRate: 20,
		Organisations: []config.Organisation{{Name: org, CredentialSHA256: declare.HashToken(token), Share: 1}},
		Kinds: []config.Kind{
			{Organisation: org, Name: booking, Application: application, AtMostOnce: true, Worth: 5, Deadline: config.Duration(20 * time.Second)},
			{Organisation: org, Name: lookup, Application: application, Worth: 1, Deadline: config.Duration(20 * time.Second)},
		},
	}
	for i := range adapterCount {
		d.Adapters = append(d.Adapters, config.Adapter{Organisation: org, Name: fmt.Sprintf("maker-%d", i), BaseModel: base, Versions: []string{"v1"}})
	}
	return d
}

// deployment starts three VMs, three runners with three slots and three
// services, and waits until all VMs are ready.
func deployment(t testing.TB, g gomega.Gomega, change func(*testcluster.Options)) (context.Context, *testcluster.Cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	dataCentre := func(name string) testcluster.DataCentre {
		return testcluster.DataCentre{Name: name, Region: name, VMs: 1, Runners: 1, Services: 1}
	}
	options := testcluster.Options{
		BinDir: binDir, WorkDir: t.TempDir(), BaseModel: base, Application: application,
		DataCentres: []testcluster.DataCentre{dataCentre("riga"), dataCentre("kurzeme"), dataCentre("latgale")},
		Slots:       3, Concurrency: 8, TokenInterval: 2 * time.Millisecond, LoadTime: 20 * time.Millisecond,
		ListLag: 200 * time.Millisecond,
	}
	if change != nil {
		change(&options)
	}
	cluster, err := testcluster.Start(options)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(cluster.Close)
	_, err = config.Publish(ctx, cluster.Store, document(), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, vm := range cluster.VMs() {
		g.Expect(cluster.WaitReady(ctx, vm)).To(gomega.Succeed())
	}
	return ctx, cluster
}

func caller(ctx context.Context, g gomega.Gomega, cluster *testcluster.Cluster, vm string) testcluster.Caller {
	address, err := cluster.Address(ctx, vm)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return testcluster.Caller{Address: address, Token: token, Timeout: callLimit}
}
