package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpstore"
)

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// GlobalOptions holds the options that all subcommands share.
type GlobalOptions struct {
	Output   string        `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"format of results and errors"`
	Platform string        `long:"platform" env:"CICADASLIP_PLATFORM" value-name:"IP:PORT" description:"address of the platform's object API"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time limit of the whole command, with unit"`
}

// Context holds the options, streams and parent context of a subcommand.
type Context struct {
	GlobalOptions
	Streams
	// Base is the parent of the context of each command. It is cancelled when
	// the process receives SIGINT or SIGTERM.
	Base context.Context
}

// Registration describes one subcommand. The Execute method of its Commander
// returns an *errs.Error, whose code determines the exit code.
type Registration struct {
	Name  string
	Short string // one line of help
	Long  string
	New   func(*Context) flags.Commander
}

// Commands returns the subcommands of this package.
func Commands() []Registration {
	return []Registration{
		applyCommand, diffCommand, getCommand, checkCommand,
		statusCommand, targetsCommand, adaptersCommand, drainCommand, timelineCommand, usageCommand, recordCommand, replayCommand, explainCommand,
	}
}

// Run parses args, which exclude the program name, executes one subcommand and
// returns the exit code.
func Run(ctx context.Context, args []string, streams Streams, commands []Registration) int {
	c := &Context{Streams: streams, Base: ctx}
	parser := flags.NewNamedParser("cicadaslip", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operates a cicadaslip deployment.\n\n" + exitCodeHelp()
	if _, err := parser.AddGroup("Global options", "", &c.GlobalOptions); err != nil {
		return c.fail(errs.Wrap(err, errs.Internal, "registering the global options failed"))
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.Name, command.Short, command.Long, command.New(c)); err != nil {
			return c.fail(errs.Wrap(err, errs.Internal, "registering a subcommand failed"))
		}
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		return command.Execute(nil)
	}
	_, err := parser.ParseArgs(args)
	return c.exit(err)
}

// exit prints help or an error, if any, and returns the exit code for err.
func (c *Context) exit(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(c.Out, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(c.Err, "cicadaslip: %s\nUse --help for the options.\n", usage.Message)
		return ExitUsage
	case errors.Is(err, ErrDiffers):
		return ExitDiffers
	}
	return c.fail(err)
}

// fail prints err to standard error in the selected output form and returns its
// exit code.
func (c *Context) fail(err error) int {
	typed := errs.As(err)
	if c.Output == "json" {
		_ = writeJSON(c.Err, typed)
		return exitCode(typed.Code)
	}
	_, _ = fmt.Fprintln(c.Err, "cicadaslip:", typed)
	for _, detail := range typed.Details {
		_, _ = fmt.Fprintln(c.Err, "  "+detail)
	}
	return exitCode(typed.Code)
}

// Print writes result to standard output: as JSON with -o json, otherwise by
// calling writeText.
func (c *Context) Print(result any, writeText func(w io.Writer) error) error {
	var err error
	if c.Output == "json" {
		err = writeJSON(c.Out, result)
	} else {
		err = writeText(c.Out)
	}
	if err != nil {
		return errs.Wrap(err, errs.Internal, "writing the result failed")
	}
	return nil
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// WithStore calls work with a client of the platform's object store and a
// context that expires after the timeout of the command.
func (c *Context) WithStore(work func(ctx context.Context, store objectstore.Store) error) error {
	if c.Platform == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "--platform or CICADASLIP_PLATFORM is required"}
	}
	ctx, cancel := context.WithTimeout(c.Base, c.Timeout)
	defer cancel()
	client := httpstore.New(httpstore.Options{Address: c.Platform})
	defer client.Close()
	return work(ctx, client)
}
