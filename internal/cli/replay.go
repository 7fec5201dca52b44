package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/replay"
)

var replayCommand = Registration{
	Name:  "replay",
	Short: "Replay a trace and compare the policies with the baseline",
	Long: "Replays TRACE (- is standard input) in virtual time, or with --synthetic generated traces, and prints the measures. " +
		"With --expect it fails unless every expected outcome holds. Violated invariants always fail. docs/trace.md describes the formats.",
	New: func(c *Context) flags.Commander { return &replayCmd{context: c} },
}

type replayCmd struct {
	context   *Context
	Expect    string   `long:"expect" value-name:"OUTCOMES" description:"YAML file with the expected outcomes"`
	Plots     string   `long:"plots" value-name:"DIR" description:"write PNG plots of the measures into DIR"`
	Seeds     []uint64 `long:"seed" value-name:"N" description:"seed; may be repeated; default 1, with --synthetic 1 to 5"`
	Synthetic []string `long:"synthetic" value-name:"DEPLOYMENT" choice:"baltzips" choice:"jegue" description:"measure generated traces of a deployment instead of TRACE; may be repeated"`
	Without   []string `long:"without" value-name:"DECISION" choice:"queueing" choice:"admission" choice:"placement" choice:"straggler" choice:"hedge" choice:"prefix" description:"use the baseline for this decision of the policies; may be repeated"`
	Write     string   `long:"write" value-name:"FILE" description:"write the generated trace to FILE and exit; needs one --synthetic and at most one --seed"`
	Workers   int      `long:"workers" default:"6" value-name:"N" description:"number of concurrent runs, at most 6"`
	Args      struct {
		Trace string `positional-arg-name:"TRACE"`
	} `positional-args:"yes"`
}

func (r *replayCmd) Execute([]string) error {
	if (r.Args.Trace == "") == (len(r.Synthetic) == 0) {
		return &flags.Error{Type: flags.ErrRequired, Message: "either TRACE or --synthetic is required"}
	}
	if r.Write != "" {
		return r.writeTrace()
	}
	expected, err := r.readOutcomes()
	if err != nil {
		return err
	}
	results, err := r.measure()
	if err != nil {
		return err
	}
	reports := replay.Report(results)
	if r.Plots != "" {
		if err := replay.WritePlots(r.Plots, reports); err != nil {
			return err
		}
	}
	if err := r.context.Print(reports, func(w io.Writer) error { return replay.WriteTable(w, reports) }); err != nil {
		return err
	}
	return checkOutcomes(expected, results)
}

// checkOutcomes returns an error if an expected outcome or an invariant does not
// hold. If expected is nil, it checks the invariants alone.
func checkOutcomes(expected *replay.Outcomes, results []*replay.Compared) error {
	var faults []string
	for _, result := range results {
		lines := result.ViolationLines()
		if expected != nil {
			lines = expected.Check(result)
		}
		for _, line := range lines {
			faults = append(faults, fmt.Sprintf("%s seed %d: %s", result.Deployment, result.Seed, line))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return errs.New(errs.Internal, "expected outcomes do not hold").WithDetails(faults...)
}

// readOutcomes reads the file of --expect. It returns nil without the option.
func (r *replayCmd) readOutcomes() (*replay.Outcomes, error) {
	if r.Expect == "" {
		return nil, nil
	}
	file, err := os.Open(r.Expect)
	if err != nil {
		return nil, openError(err, r.Expect)
	}
	defer func() { _ = file.Close() }()
	return replay.ReadOutcomes(file)
}

// openError wraps the error of opening the named file; a missing file has the
// code NotFound.
func openError(err error, name string) error {
	code := errs.Internal
	if errors.Is(err, os.ErrNotExist) {
		code = errs.NotFound
	}
	return errs.Wrap(err, code, name+" cannot be opened")
}

// defaultSeeds are the seeds for generated traces. The first one is also the
// default for recorded traces and for --write.
var defaultSeeds = []uint64{1, 2, 3, 4, 5}

// measure runs the policies and the baseline on TRACE or on generated traces.
func (r *replayCmd) measure() ([]*replay.Compared, error) {
	policies, err := replay.PoliciesWithout(r.Without)
	if err != nil {
		return nil, err
	}
	if len(r.Synthetic) > 0 {
		seeds := r.Seeds
		if len(seeds) == 0 {
			seeds = defaultSeeds
		}
		return replay.MeasureSynthetic(r.context.Base, r.Synthetic, policies, seeds, r.Workers)
	}
	trace, err := r.readTrace()
	if err != nil {
		return nil, err
	}
	seeds := r.Seeds
	if len(seeds) == 0 {
		seeds = defaultSeeds[:1]
	}
	return replay.MeasureTrace(r.context.Base, trace, policies, seeds, r.Workers)
}

// readTrace reads TRACE; "-" is standard input.
func (r *replayCmd) readTrace() (*replay.Trace, error) {
	if r.Args.Trace == "-" {
		return replay.ReadAll(r.context.In)
	}
	file, err := os.Open(r.Args.Trace)
	if err != nil {
		return nil, openError(err, r.Args.Trace)
	}
	defer func() { _ = file.Close() }()
	return replay.ReadAll(file)
}

// writeTrace writes one generated trace to the file of --write.
func (r *replayCmd) writeTrace() error {
	if len(r.Synthetic) != 1 || len(r.Seeds) > 1 {
		return &flags.Error{Type: flags.ErrRequired, Message: "--write needs one --synthetic and at most one --seed"}
	}
	seed := defaultSeeds[0]
	if len(r.Seeds) == 1 {
		seed = r.Seeds[0]
	}
	trace, failure := replay.Generate(r.Synthetic[0], seed)
	if failure != nil {
		return failure
	}
	file, err := os.Create(r.Write)
	if err != nil {
		return openError(err, r.Write)
	}
	err = replay.WriteAll(file, trace)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = errs.Wrap(closeErr, errs.Internal, "writing the trace failed")
	}
	return err
}
