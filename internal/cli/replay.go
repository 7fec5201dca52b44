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
	Short: "Replay a trace and compare the policies with the plain baseline",
	Long: "Replays TRACE (- is standard input) in virtual time, or with --synthetic generated traces, and prints the measures. " +
		"With --expect it fails unless every stated outcome holds. Violated invariants always fail. docs/trace.md describes the formats.",
	New: func(c *Context) flags.Commander { return &replayCmd{context: c} },
}

type replayCmd struct {
	context   *Context
	Expect    string   `long:"expect" value-name:"OUTCOMES" description:"YAML file of outcomes that must hold"`
	Plots     string   `long:"plots" value-name:"DIR" description:"write PNG plots of the measures into DIR"`
	Seeds     []uint64 `long:"seed" value-name:"N" description:"seed; may be repeated; default 1, with --synthetic 1 to 5"`
	Synthetic []string `long:"synthetic" value-name:"DEPLOYMENT" choice:"baltzips" choice:"jegue" description:"measure generated traces of a deployment instead of TRACE; may be repeated"`
	Without   []string `long:"without" value-name:"DECISION" choice:"queueing" choice:"admission" choice:"placement" choice:"straggler" choice:"hedge" choice:"prefix" description:"set a decision of the policies back to its baseline; may be repeated"`
	Write     string   `long:"write" value-name:"FILE" description:"write the generated trace of the only --synthetic and --seed to FILE and end"`
	Workers   int      `long:"workers" default:"6" value-name:"N" description:"runs at the same time, at most 6"`
	Args      struct {
		Trace string `positional-arg-name:"TRACE"`
	} `positional-args:"yes"`
}

func (r *replayCmd) Execute([]string) error {
	if (r.Args.Trace == "") == (len(r.Synthetic) == 0) {
		return &flags.Error{Type: flags.ErrRequired, Message: "either TRACE or --synthetic is required"}
	}
	if r.Write != "" {
		return r.write()
	}
	outcomes, err := r.outcomes()
	if err != nil {
		return err
	}
	results, err := r.results()
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
	return verdict(outcomes, results)
}

// verdict fails if an outcome or an invariant does not hold.
func verdict(outcomes *replay.Outcomes, results []*replay.Compared) error {
	var faults []string
	for _, c := range results {
		lines := c.ViolationLines()
		if outcomes != nil {
			lines = outcomes.Check(c)
		}
		for _, line := range lines {
			faults = append(faults, fmt.Sprintf("%s seed %d: %s", c.Deployment, c.Seed, line))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return errs.New(errs.Internal, "expected outcomes do not hold").WithDetails(faults...)
}

func (r *replayCmd) outcomes() (*replay.Outcomes, error) {
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

func openError(err error, name string) error {
	code := errs.Internal
	if errors.Is(err, os.ErrNotExist) {
		code = errs.NotFound
	}
	return errs.Wrap(err, code, name+" cannot be opened")
}

// defaultSeeds are the seeds of generated traces.
var defaultSeeds = []uint64{1, 2, 3, 4, 5}

func (r *replayCmd) results() ([]*replay.Compared, error) {
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
	trace, err := r.read()
	if err != nil {
		return nil, err
	}
	seeds := r.Seeds
	if len(seeds) == 0 {
		seeds = defaultSeeds[:1]
	}
	return replay.MeasureTrace(r.context.Base, trace, policies, seeds, r.Workers)
}

func (r *replayCmd) read() (*replay.Trace, error) {
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

func (r *replayCmd) write() error {
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
		err = errs.Wrap(closeErr, errs.Internal, "the trace cannot be written")
	}
	return err
}
