package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/cli"
	"cicadaslip/internal/configcheck"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/platform"
)

var configCommand = cli.Registration{
	Name:  "config",
	Short: "Check a configuration of the users' platform",
	Long: "config check FILE lists the faults of a configuration, as the platform's store holds it, and with --platform what " +
		"it changes of the version in force. Exit code 3 means that there are faults, 8 that there are differences only.",
	New: func(c *cli.Context) flags.Commander { return &configCmd{Check: configCheckCmd{context: c}} },
}

type configCmd struct {
	Check configCheckCmd `command:"check" description:"list the faults of a configuration and what it changes"`
}

// Execute implements flags.Commander. The parser calls it only if it accepts no subcommand.
func (*configCmd) Execute([]string) error {
	return &flags.Error{Type: flags.ErrCommandRequired, Message: "config needs the subcommand check"}
}

type configCheckCmd struct {
	context *cli.Context
	Args    struct {
		File string `positional-arg-name:"FILE" description:"configuration in JSON; - is standard input" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// configCheckResult is the result of config check.
type configCheckResult struct {
	Version     uint64              `json:"version"`
	Base        uint64              `json:"base"` // version in force, 0 if there is none or it was not asked for
	Faults      []configcheck.Fault `json:"faults"`
	Differences []string            `json:"differences"`
}

// Execute implements flags.Commander.
func (c *configCheckCmd) Execute([]string) error {
	data, err := c.context.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	var object struct {
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(data, &object) == nil && object.Spec != nil { // as the store answers
		data = object.Spec
	}
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return err
	}
	result := configCheckResult{Version: config.Version, Faults: configcheck.Faults(config), Differences: []string{}}
	if c.context.Platform != "" {
		inForce, err := c.inForce()
		if err != nil {
			return err
		}
		if inForce != nil {
			result.Base = inForce.Version
		}
		result.Differences = configcheck.Differences(inForce, config)
	}
	if err := c.context.Print(result, result.write); err != nil {
		return err
	}
	switch {
	case len(result.Faults) > 0:
		return errs.New(errs.InvalidConfig, fmt.Sprintf("%d faults", len(result.Faults)))
	case len(result.Differences) > 0:
		return cli.ErrDiffers
	}
	return nil
}

// inForce returns the configuration in force, nil if there is none.
func (c *configCheckCmd) inForce() (*fleet.Config, error) {
	ctx, cancel := context.WithTimeout(c.context.Base, c.context.Timeout)
	defer cancel()
	object, err := platform.NewStore(c.context.Platform).Get(ctx, platform.ConfigKey, 0)
	if errs.Is(err, errs.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfig(object.Value)
}

func (r *configCheckResult) write(w io.Writer) error {
	for _, fault := range r.Faults {
		if _, err := fmt.Fprintln(w, fault); err != nil {
			return err
		}
	}
	for _, difference := range r.Differences {
		if _, err := fmt.Fprintln(w, "difference: "+difference); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "version %d: %d faults, %d differences to version %d\n", r.Version, len(r.Faults), len(r.Differences), r.Base)
	return err
}
