package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/edge"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/logsink"
	"cicadaslip/internal/membudget"
	"cicadaslip/internal/placer"
	"cicadaslip/platform"
)

// targetDialTimeout limits an attempt to connect to a target if the attempt has no
// limit of its own.
const targetDialTimeout = time.Second

// runEdge runs the daemon as an entry VM of the users' platform until it is stopped
// by a signal.
func runEdge(o options) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	level, err := zerolog.ParseLevel(o.LogLevel)
	if err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "parse the log level")
	}
	path := os.Getenv(platform.SettingsPathVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	zerolog.DurationFieldInteger = true
	sink := logsink.New(os.Stdout, logsink.Settings{LinesPerSecond: o.LogLines, BytesPerSecond: o.LogBytes})
	defer sink.Close()
	s.MetricsPort, s.DroppedLogLines, s.HedgeLimit = o.MetricsPort, sink.Dropped, o.HedgeLimit
	log := zerolog.New(sink).Level(level).With().Timestamp().Str("vm", s.VM).Logger()
	orders := platform.NewTargetClient()
	_, kept := membudget.TargetConnections(s.MemoryBytes, s.Descriptors)
	orders.LimitKept(kept)
	d, err := edge.New(s, edge.Dependencies{
		Store: platform.NewStore(s.StoreAddress), Orders: orders, Dialect: platform.Dialect{},
		ObjectKinds: platformKinds(), Dial: platform.Dialer(targetDialTimeout).DialContext, KeptConnections: orders.KeptNow,
	}, log)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go handleSignals(log, path, signals, stop)
	return d.Run(stop)
}

// platformKinds returns the object kinds of the users' platform and their decoders.
func platformKinds() edge.ObjectKinds {
	return edge.ObjectKinds{
		Config: platform.ConfigKind, MainConfigKey: platform.ConfigKey, Targets: platform.TargetKind, Versions: platform.VersionKind,
		DecodeConfig: platform.DecodeConfig, DecodeTarget: platform.DecodeTarget,
		DecodeVersion: func(name string, value []byte) (placer.Adapter, int64, error) {
			v, err := platform.DecodeVersion(name, value)
			return placer.Adapter{Model: v.Model, Name: v.Adapter}, v.Version, err
		},
	}
}

// handleSignals closes stop at the first SIGTERM or SIGINT. On SIGHUP it only
// validates the settings file and logs the result: changed settings take effect at
// the next start.
func handleSignals(log zerolog.Logger, path string, signals <-chan os.Signal, stop chan<- struct{}) {
	stopping := false
	for s := range signals {
		if s == syscall.SIGHUP {
			_, err := platform.LoadSettings(path)
			log.Info().Str("event", "reload").Err(err).Send()
			continue
		}
		if !stopping {
			stopping = true
			close(stop)
		}
	}
}
