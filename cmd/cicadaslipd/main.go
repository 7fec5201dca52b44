// Command cicadaslipd is the daemon of one entry VM. It drains on the first
// SIGTERM or SIGINT and, without --edge, exits immediately on the second. SIGHUP ends
// nothing: with --edge it checks the settings file, otherwise it is ignored. Exit
// codes: 0 after a complete drain, 1 after a failure or a drain that aborted
// requests, 2 for wrong options or settings.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"cicadaslip/internal/daemon"
	"cicadaslip/internal/settings"
)

type options struct {
	Settings string `long:"settings" short:"s" description:"YAML file with the settings"`
	Edge     bool   `long:"edge" description:"serve as entry VM of the users' platform, which provides the path of the settings file"`
	LogLevel string `long:"log-level" default:"info" description:"minimum level of log lines with --edge"`
	LogLines int    `long:"log-lines" default:"2000" description:"maximum number of log lines per second with --edge; further lines are dropped and counted"`
	LogBytes int    `long:"log-bytes" default:"524288" description:"maximum bytes of log lines per second with --edge"`

	HedgeLimit float64 `long:"hedge-limit" description:"largest share of the requests to a service that may have a second attempt beside the first with --edge; 0 keeps fixed delays"`

	MetricsPort int `long:"metrics-port" description:"port that serves /metrics with --edge; 0 disables it"`
}

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if o.Edge {
		if err := runEdge(o); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailure)
		}
		return
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "one of --settings and --edge is required")
		os.Exit(exitUsage)
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(s *settings.Settings) error {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("vm", s.VM.Name).Logger()
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGHUP) // changed settings take effect at the next start
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		log.Error().Msg("second signal received during drain; exiting immediately")
		os.Exit(exitFailure)
	}()
	return d.Run(stop)
}
