package cli

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/settings"
)

var checkCommand = Registration{
	Name:  "check",
	Short: "Check settings and configuration files offline",
	Long:  "Checks files without a connection and lists every fault. Exit code 3 means that there are faults.",
	New:   func(c *Context) flags.Commander { return &checkCmd{context: c} },
}

type checkCmd struct {
	context  *Context
	Settings []string `short:"s" long:"settings" value-name:"FILE" description:"settings of a daemon; may be repeated"`
	Files    []string `short:"f" long:"file" value-name:"FILE" description:"configuration document; may be repeated; - is standard input"`
}

type checkResult struct {
	Valid []string `json:"valid"`
}

func (c *checkCmd) Execute([]string) error {
	if len(c.Settings)+len(c.Files) == 0 {
		return &flags.Error{Type: flags.ErrRequired, Message: "at least one of --settings and --file is required"}
	}
	var result checkResult
	var faults []string
	addResult := func(name string, err error) {
		if err == nil {
			result.Valid = append(result.Valid, name)
			return
		}
		faults = append(faults, faultLines(name, err)...)
	}
	for _, name := range c.Settings {
		_, err := settings.Load(name)
		addResult(name, err)
	}
	for _, name := range c.Files {
		_, err := c.context.readDocument(name)
		addResult(name, err)
	}
	if len(faults) > 0 {
		return errs.New(errs.InvalidConfig, fmt.Sprintf("%d faults", len(faults))).WithDetails(faults...)
	}
	return c.context.Print(result, func(w io.Writer) error {
		for _, name := range result.Valid {
			if _, err := fmt.Fprintln(w, name+": valid"); err != nil {
				return err
			}
		}
		return nil
	})
}

// faultLines returns one line per fault, each with the file name. The details of
// settings errors already contain it.
func faultLines(name string, err error) []string {
	typed := errs.As(err)
	if len(typed.Details) == 0 {
		return []string{name + ": " + typed.Error()}
	}
	if typed.Code == errs.InvalidSettings {
		return typed.Details
	}
	var lines []string
	for _, detail := range typed.Details {
		lines = append(lines, name+": "+detail)
	}
	return lines
}
