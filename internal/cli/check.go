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
	Long:  "Checks files without a connection and lists every fault. Exit code 3 says that there are faults.",
	New:   func(c *Context) flags.Commander { return &check{context: c} },
}

type check struct {
	context  *Context
	Settings []string `short:"s" long:"settings" value-name:"FILE" description:"settings of a daemon; may be repeated"`
	Files    []string `short:"f" long:"file" value-name:"FILE" description:"configuration document; may be repeated; - is standard input"`
}

type checkResult struct {
	Valid []string `json:"valid"`
}

func (k *check) Execute([]string) error {
	if len(k.Settings)+len(k.Files) == 0 {
		return &flags.Error{Type: flags.ErrRequired, Message: "at least one of --settings and --file is required"}
	}
	var result checkResult
	var faults []string
	note := func(name string, err error) {
		if err == nil {
			result.Valid = append(result.Valid, name)
			return
		}
		faults = append(faults, faultsOf(name, err)...)
	}
	for _, name := range k.Settings {
		_, err := settings.Load(name)
		note(name, err)
	}
	for _, name := range k.Files {
		_, err := k.context.document(name)
		note(name, err)
	}
	if len(faults) > 0 {
		return errs.New(errs.InvalidConfig, fmt.Sprintf("%d faults", len(faults))).WithDetails(faults...)
	}
	return k.context.Print(result, func(w io.Writer) error {
		for _, name := range result.Valid {
			if _, err := fmt.Fprintln(w, name+": valid"); err != nil {
				return err
			}
		}
		return nil
	})
}

// faultsOf returns one line per fault. Those of settings name their file.
func faultsOf(name string, err error) []string {
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
