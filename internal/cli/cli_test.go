package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/onsi/gomega"

	"cicadaslip/internal/cli"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/standin/platform"
)

const document = `base_models: [base]
load_rate: 2
organisations:
  - name: counter
    credential_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    share: 1
adapters:
  - {organisation: counter, name: coats, base_model: base, versions: [v1]}
`

type result struct {
	code     int
	out, err string
}

func run(input string, args ...string) result {
	var out, failure bytes.Buffer
	streams := cli.Streams{In: strings.NewReader(input), Out: &out, Err: &failure}
	code := cli.Run(context.Background(), args, streams, cli.Commands())
	return result{code, out.String(), failure.String()}
}

func startPlatform(t *testing.T) (*platform.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := platform.New()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, "--platform=" + listener.Addr().String()
}

// Guards against an operator who cannot go from get over diff to apply, and
// against one who overwrites the change of another.
func TestApplyDiffGet(t *testing.T) {
	g := gomega.NewWithT(t)
	_, at := startPlatform(t)
	g.Expect(run("", "get", at).code).To(gomega.Equal(cli.ExitNotFound))
	r := run(document, "diff", at, "-f", "-")
	g.Expect(r.code).To(gomega.Equal(cli.ExitDiffers), r.err)
	g.Expect(r.out).To(gomega.ContainSubstring("differences to version 0"))
	r = run(document, "apply", at, "-f", "-", "--base", "0")
	g.Expect(r.code).To(gomega.Equal(cli.ExitOK), r.err)
	g.Expect(r.out).To(gomega.ContainSubstring("accepted as version 1"))

	got := run("", "get", at)
	g.Expect(got.out).To(gomega.HavePrefix("# version 1\n"))
	g.Expect(run(got.out, "diff", at, "-f", "-").code).To(gomega.Equal(cli.ExitOK))
	changed := strings.Replace(document, "load_rate: 2", "load_rate: 3", 1)
	r = run(changed, "apply", at, "-f", "-", "--base", "1", "-o", "json")
	g.Expect(r.code).To(gomega.Equal(cli.ExitOK), r.err)
	g.Expect(r.out).To(gomega.ContainSubstring(`"version": 2`))

	r = run(document, "apply", at, "-f", "-", "--base", "1")
	g.Expect(r.code).To(gomega.Equal(cli.ExitConflict))
	g.Expect(r.err).To(gomega.ContainSubstring("load_rate: 3 -> 2"))
	g.Expect(run("", "get", at, "--min-revision", "100000").code).To(gomega.Equal(cli.ExitUnavailable))
}

// Guards against a lost response that is reported as a refusal, and the other
// way round.
func TestStoreFaultsHaveTheirOwnExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	server, at := startPlatform(t)
	server.Store.Inject(memstore.Rule{Fault: memstore.LoseRequest, Prefix: "config/root"})
	r := run(document, "apply", at, "-f", "-", "--base", "0")
	g.Expect(r.code).To(gomega.Equal(cli.ExitUnknown), r.err)
	server.Store.ClearFaults()
	server.Store.SetOutage(true)
	r = run(document, "apply", at, "-f", "-", "--base", "0", "-o", "json")
	g.Expect(r.code).To(gomega.Equal(cli.ExitUnavailable))
	var failure errs.Error
	g.Expect(json.Unmarshal([]byte(r.err), &failure)).To(gomega.Succeed())
	g.Expect(failure.Code).To(gomega.Equal(errs.StoreUnavailable))
}

// Guards against check stopping at the first file with faults.
func TestCheckListsFaultsOfAllFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	r := run(strings.Replace(document, "load_rate: 2", "load_rate: 0", 1),
		"check", "-f", "-", "-f", file("c.yaml", "x: 1\n"), "-s", file("s.yaml", "vm: {name: A}\n"))
	g.Expect(r.code).To(gomega.Equal(cli.ExitInvalid))
	g.Expect(r.err).To(gomega.ContainSubstring("-: load_rate: 0 is refused"))
	g.Expect(r.err).To(gomega.ContainSubstring("c.yaml: line 1: unknown field"))
	g.Expect(r.err).To(gomega.ContainSubstring("s.yaml:1: vm.name"))
	r = run(document, "check", "-f", "-")
	g.Expect(r).To(gomega.Equal(result{cli.ExitOK, "-: valid\n", ""}))
}

func TestUsage(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(run("", "--help").code).To(gomega.Equal(cli.ExitOK))
	for _, args := range [][]string{
		{},
		{"absent"},
		{"check"},
		{"get"},
		{"get", "--absent"},
		{"get", "extra", "--platform=127.0.0.1:1"},
		{"apply", "-f", "-"},
		{"get", "-o", "xml"},
	} {
		r := run("", args...)
		g.Expect(r.code).To(gomega.Equal(cli.ExitUsage), strings.Join(args, " ")+": "+r.err)
	}
}

type greet struct{ context *cli.Context }

func (c *greet) Execute([]string) error {
	return errs.New(errs.PeerUnavailable, "no VM answers on "+c.context.Output)
}

// Guards against a subcommand of another package that cannot be registered.
func TestFurtherSubcommand(t *testing.T) {
	g := gomega.NewWithT(t)
	var failure bytes.Buffer
	more := append(cli.Commands(), cli.Registration{Name: "greet", New: func(c *cli.Context) flags.Commander { return &greet{c} }})
	code := cli.Run(context.Background(), []string{"greet"}, cli.Streams{Err: &failure}, more)
	g.Expect(code).To(gomega.Equal(cli.ExitUnavailable))
	g.Expect(failure.String()).To(gomega.ContainSubstring("no VM answers on text"))
}
