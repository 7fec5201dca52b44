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

// result is what one run of the command line returned and printed.
type result struct {
	code           int
	stdout, stderr string
}

// runCLI runs the command line with input as standard input.
func runCLI(input string, args ...string) result {
	var stdout, stderr bytes.Buffer
	streams := cli.Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr}
	code := cli.Run(context.Background(), args, streams, cli.Commands())
	return result{code, stdout.String(), stderr.String()}
}

// startPlatform starts a stand-in platform and returns it with the --platform flag
// for its address.
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

// Guards against versions printed by get and diff that apply does not accept as
// --base, and against an apply that overwrites the change of another operator.
func TestApplyDiffGet(t *testing.T) {
	g := gomega.NewWithT(t)
	_, platformFlag := startPlatform(t)
	g.Expect(runCLI("", "get", platformFlag).code).To(gomega.Equal(cli.ExitNotFound))
	r := runCLI(document, "diff", platformFlag, "-f", "-")
	g.Expect(r.code).To(gomega.Equal(cli.ExitDiffers), r.stderr)
	g.Expect(r.stdout).To(gomega.ContainSubstring("differences to version 0"))
	r = runCLI(document, "apply", platformFlag, "-f", "-", "--base", "0")
	g.Expect(r.code).To(gomega.Equal(cli.ExitOK), r.stderr)
	g.Expect(r.stdout).To(gomega.ContainSubstring("accepted as version 1"))

	accepted := runCLI("", "get", platformFlag)
	g.Expect(accepted.stdout).To(gomega.HavePrefix("# version 1\n"))
	g.Expect(runCLI(accepted.stdout, "diff", platformFlag, "-f", "-").code).To(gomega.Equal(cli.ExitOK))
	changed := strings.Replace(document, "load_rate: 2", "load_rate: 3", 1)
	r = runCLI(changed, "apply", platformFlag, "-f", "-", "--base", "1", "-o", "json")
	g.Expect(r.code).To(gomega.Equal(cli.ExitOK), r.stderr)
	g.Expect(r.stdout).To(gomega.ContainSubstring(`"version": 2`))

	r = runCLI(document, "apply", platformFlag, "-f", "-", "--base", "1")
	g.Expect(r.code).To(gomega.Equal(cli.ExitConflict))
	g.Expect(r.stderr).To(gomega.ContainSubstring("load_rate: 3 -> 2"))
	g.Expect(runCLI("", "get", platformFlag, "--min-revision", "100000").code).To(gomega.Equal(cli.ExitUnavailable))
}

// Guards against reporting a lost response, after which the change may have been
// accepted, as an unavailable store, and the reverse.
func TestStoreFaultsHaveDistinctExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	server, platformFlag := startPlatform(t)
	server.Store.Inject(memstore.Rule{Fault: memstore.LoseRequest, Prefix: "config/root"})
	r := runCLI(document, "apply", platformFlag, "-f", "-", "--base", "0")
	g.Expect(r.code).To(gomega.Equal(cli.ExitUnknown), r.stderr)
	server.Store.ClearFaults()
	server.Store.SetOutage(true)
	r = runCLI(document, "apply", platformFlag, "-f", "-", "--base", "0", "-o", "json")
	g.Expect(r.code).To(gomega.Equal(cli.ExitUnavailable))
	var failure errs.Error
	g.Expect(json.Unmarshal([]byte(r.stderr), &failure)).To(gomega.Succeed())
	g.Expect(failure.Code).To(gomega.Equal(errs.StoreUnavailable))
}

// Guards against a check that stops at the first file with faults.
func TestCheckListsFaultsOfAllFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	r := runCLI(strings.Replace(document, "load_rate: 2", "load_rate: 0", 1),
		"check", "-f", "-", "-f", writeFile("c.yaml", "x: 1\n"), "-s", writeFile("s.yaml", "vm: {name: A}\n"))
	g.Expect(r.code).To(gomega.Equal(cli.ExitInvalid))
	g.Expect(r.stderr).To(gomega.ContainSubstring("-: load_rate: 0 is refused"))
	g.Expect(r.stderr).To(gomega.ContainSubstring("c.yaml: line 1: unknown field"))
	g.Expect(r.stderr).To(gomega.ContainSubstring("s.yaml:1: vm.name"))
	r = runCLI(document, "check", "-f", "-")
	g.Expect(r).To(gomega.Equal(result{cli.ExitOK, "-: valid\n", ""}))
}

// Guards against wrong options or arguments without the usage exit code.
func TestUsageErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(runCLI("", "--help").code).To(gomega.Equal(cli.ExitOK))
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
		r := runCLI("", args...)
		g.Expect(r.code).To(gomega.Equal(cli.ExitUsage), strings.Join(args, " ")+": "+r.stderr)
	}
}

type greetCmd struct{ context *cli.Context }

func (c *greetCmd) Execute([]string) error {
	return errs.New(errs.PeerUnavailable, "no VM answers on "+c.context.Output)
}

// Guards against a Run that cannot execute a subcommand of another package or that
// ignores the error code of the subcommand.
func TestSubcommandOfAnotherPackage(t *testing.T) {
	g := gomega.NewWithT(t)
	var stderr bytes.Buffer
	commands := append(cli.Commands(), cli.Registration{Name: "greet", New: func(c *cli.Context) flags.Commander { return &greetCmd{c} }})
	code := cli.Run(context.Background(), []string{"greet"}, cli.Streams{Err: &stderr}, commands)
	g.Expect(code).To(gomega.Equal(cli.ExitUnavailable))
	g.Expect(stderr.String()).To(gomega.ContainSubstring("no VM answers on text"))
}
