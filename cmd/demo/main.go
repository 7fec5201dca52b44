// Command demo starts the stand-ins and daemons on loopback, applies the Baltzips
// configuration, sends requests as a caller does, prints the answers and the output
// of operator commands such as usage and timeline, and stops all processes. Exit
// codes: 0 if all answers are as expected, 1 after any failure.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/testcluster"
)

const (
	demoTimeout   = 2 * time.Minute
	callTimeout   = 20 * time.Second
	organisation  = "riga"
	callerToken   = "baltzips-riga-demo-token"
	adapter       = "riga/maker-0007@v1"
	tokensPerCall = 12
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run() error {
	program, err := os.Executable()
	if err != nil {
		return errs.Wrap(err, errs.Internal, "determine the path of the executable")
	}
	workDir, err := os.MkdirTemp("", "cicadaslip-demo-")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "create the work directory")
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	fmt.Println("log directory:", workDir)
	cluster, err := testcluster.Start(options(filepath.Dir(program), workDir))
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, binDir: filepath.Dir(program)}
	steps := []func(context.Context) error{d.apply, d.waitReady, d.complete, d.book, d.show}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func options(binDir, workDir string) testcluster.Options {
	dataCentre := func(name string) testcluster.DataCentre {
		return testcluster.DataCentre{Name: name, Region: name, VMs: 1, Runners: 1, Services: 1}
	}
	return testcluster.Options{
		BinDir: binDir, WorkDir: workDir, BaseModel: "garment-8b", Application: "booking-stock",
		DataCentres: []testcluster.DataCentre{dataCentre("riga"), dataCentre("kurzeme"), dataCentre("latgale")},
		Slots:       4, Concurrency: 8, TokenInterval: 5 * time.Millisecond, LoadTime: 250 * time.Millisecond,
		ListLag: 200 * time.Millisecond,
	}
}

type demo struct {
	cluster *testcluster.Cluster
	binDir  string
}

// apply pipes the declared configuration into "cicadaslip apply -f -".
func (d *demo) apply(context.Context) error {
	document, err := testcluster.Run(d.binDir, nil, "baltzips")
	if err != nil {
		return err
	}
	output, err := testcluster.Run(d.binDir, document, "cicadaslip", "apply", "-f", "-", "--base", "0",
		"--platform", d.cluster.Platform.Address)
	if err != nil {
		return err
	}
	fmt.Printf("\n$ baltzips | cicadaslip apply -f -\n%s", firstLines(output, 4))
	return nil
}

// waitReady waits until every daemon is ready.
func (d *demo) waitReady(ctx context.Context) error {
	fmt.Println()
	for _, vm := range d.cluster.VMs() {
		if err := d.cluster.WaitReady(ctx, vm); err != nil {
			return err
		}
		fmt.Println("ready:", vm)
	}
	return nil
}

// caller returns a client that sends requests to the VM.
func (d *demo) caller(ctx context.Context, vm string) (testcluster.Caller, error) {
	address, err := d.cluster.Address(ctx, vm)
	return testcluster.Caller{Address: address, Token: callerToken, Timeout: callTimeout}, err
}

// complete requests the same completion from every VM, alternately as a stream and
// as one response. No target has loaded the adapter before. The text of the
// stand-in depends only on adapter, version and prompt, so all answers must be equal.
func (d *demo) complete(ctx context.Context) error {
	fmt.Println()
	expected := ""
	for i, vm := range d.cluster.VMs() {
		caller, err := d.caller(ctx, vm)
		if err != nil {
			return err
		}
		stream := i%2 == 0
		answer, err := caller.Complete(adapter, "The zipper of a coat is stuck.", tokensPerCall, stream)
		if err != nil {
			return err
		}
		text, complete := answer.Text()
		fmt.Printf("%s (stream %v) answered %d: %s\n", vm, stream, answer.Status, text)
		if expected == "" {
			expected = text
		}
		if !complete || text != expected {
			return errs.New(errs.WrongAnswer, "unexpected answer: "+string(answer.Body))
		}
	}
	return nil
}

// book sends a booking to the first VM and repeats it with the same idempotency key
// at the other VMs, which must replay the first answer.
func (d *demo) book(ctx context.Context) error {
	fmt.Println()
	for i, vm := range d.cluster.VMs() {
		caller, err := d.caller(ctx, vm)
		if err != nil {
			return err
		}
		answer, err := caller.Post("/v1/services/repair-booking", "order-4711", []byte(`{"garment":"coat","repair":"zipper"}`))
		if err != nil {
			return err
		}
		replayed := answer.Header.Get("Idempotent-Replayed") == "true"
		fmt.Printf("%s booking answered %d, replayed %v: %s\n", vm, answer.Status, replayed, answer.Body)
		if answer.Status != 200 || replayed != (i > 0) {
			return errs.New(errs.WrongAnswer, "the booking was not answered as expected")
		}
	}
	return nil
}

// show prints the output of the operator commands.
func (d *demo) show(ctx context.Context) error {
	settings := d.cluster.Settings(d.cluster.VMs()[0])
	for _, args := range [][]string{
		{"status"},
		{"targets"},
		{"adapters"},
		{"usage"},
		{"timeline", "--organisation", organisation, "--limit", "200"},
	} {
		output, err := testcluster.Run(d.binDir, nil, "cicadaslip", append(args, "--settings", settings)...)
		if err != nil {
			return err
		}
		fmt.Printf("\n$ cicadaslip %s\n%s", args[0], output)
	}
	return ctx.Err()
}

// firstLines returns the first lines of text, with an ellipsis line if text is longer.
func firstLines(text []byte, count int) []byte {
	for i, c := range text {
		if c == '\n' {
			if count--; count == 0 {
				return append(text[:i:i], "\n...\n"...)
			}
		}
	}
	return text
}
