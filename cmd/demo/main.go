// Command demo starts the stand-ins and daemons on loopback, applies a
// configuration, sends requests as a caller does, prints the answers, the
// account and the timeline, and stops everything. It exits with 1 when an
// answer is not the expected one.
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/testcluster"
)

const (
	demoLimit   = 2 * time.Minute
	callLimit   = 20 * time.Second
	demoToken   = "demo-token"
	demoAdapter = "baltzips/quote@2"
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
		return errs.Wrap(err, errs.Internal, "find own path")
	}
	workDir, err := os.MkdirTemp("", "cicadaslip-demo-")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "create work directory")
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	fmt.Println("logs are in", workDir)
	cluster, err := testcluster.Start(options(filepath.Dir(program), workDir))
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := apply(ctx, cluster); err != nil {
		return err
	}
	for _, vm := range cluster.VMs() {
		if err := cluster.WaitReady(ctx, vm); err != nil {
			return err
		}
		fmt.Println("ready:", vm)
	}
	return show(ctx, cluster)
}

func options(binDir, workDir string) testcluster.Options {
	dataCentre := func(name string) testcluster.DataCentre {
		return testcluster.DataCentre{Name: name, Region: name, VMs: 1, Runners: 1, Services: 1}
	}
	return testcluster.Options{
		BinDir: binDir, WorkDir: workDir, BaseModel: "base", Application: "booking",
		DataCentres: []testcluster.DataCentre{dataCentre("riga"), dataCentre("kurzeme"), dataCentre("latgale")},
		Slots:       4, Concurrency: 8, TokenInterval: 5 * time.Millisecond, LoadTime: 250 * time.Millisecond,
		ListLag: 200 * time.Millisecond,
	}
}

func apply(ctx context.Context, cluster *testcluster.Cluster) error {
	hash := sha256.Sum256([]byte(demoToken))
	document := &config.Document{
		BaseModels: []string{"base"}, LoadRate: 2,
		Organisations: []config.Organisation{{Name: "baltzips", CredentialSHA256: hex.EncodeToString(hash[:]), Share: 1}},
		Adapters:      []config.Adapter{{Organisation: "baltzips", Name: "quote", BaseModel: "base", Versions: []string{"1", "2"}}},
		Kinds: []config.Kind{
			{Organisation: "baltzips", Name: "quote", Worth: 1, Deadline: config.Duration(10 * time.Second)},
			{Organisation: "baltzips", Name: "repair-booking", Application: "booking", AtMostOnce: true, Worth: 5, Deadline: config.Duration(10 * time.Second)},
		},
	}
	result, err := config.Publish(ctx, cluster.Store, document, 0)
	if err != nil {
		return err
	}
	fmt.Println("configuration accepted, version", result.Version)
	return nil
}

func show(ctx context.Context, cluster *testcluster.Cluster) error {
	for i, vm := range cluster.VMs() {
		address, err := cluster.Address(ctx, vm)
		if err != nil {
			return err
		}
		caller := testcluster.Caller{Address: address, Token: demoToken, Timeout: callLimit}
		answer, err := caller.Complete(demoAdapter, "the zipper of a coat is stuck", 12, i%2 == 0)
		if err != nil {
			return err
		}
		text, complete := answer.Text()
		fmt.Printf("%s answered %d, complete %v: %s\n", vm, answer.Status, complete, text)
		if !complete {
			fmt.Println(string(answer.Body))
			return errs.New(errs.TruncatedAnswer, "the answer is not complete")
		}
		booking, err := caller.Post("/v1/services/repair-booking", "order-4711", []byte(`{"garment":"coat","repair":"zipper"}`))
		if err != nil {
			return err
		}
		fmt.Printf("%s booking answered %d (replayed %q): %s\n", vm, booking.Status, booking.Header.Get("Idempotent-Replayed"), booking.Body)
	}
	return nil
}
