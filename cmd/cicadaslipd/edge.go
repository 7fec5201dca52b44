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
	"cicadaslip/internal/placer"
	"cicadaslip/platform"
)

// targetDial bounds an attempt to connect to a target without a limit of its own.
const targetDial = time.Second

// runEdge serves as entry VM of the users' platform.
func runEdge(o options) error {
	level, err := zerolog.ParseLevel(o.LogLevel)
	if err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "log level")
	}
	path := os.Getenv(platform.SettingsPathVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	zerolog.DurationFieldInteger = true
	sink := logsink.New(os.Stdout, logsink.Settings{LinesPerSecond: o.LogLines, BytesPerSecond: o.LogBytes})
	defer sink.Close()
	s.MetricsPort, s.DroppedLogLines = o.MetricsPort, sink.Dropped
	log := zerolog.New(sink).Level(level).With().Timestamp().Str("vm", s.VM).Logger()
	d, err := edge.New(s, edge.Dependencies{
		Store: platform.NewStore(s.StoreAddress), Orders: platform.NewTargetClient(), Dialect: platform.Dialect{},
		ObjectKinds: platformKinds(), Dial: platform.Dialer(targetDial).DialContext,
	}, log)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go awaitSignals(log, path, stop)
	return d.Run(stop)
}

func platformKinds() edge.ObjectKinds {
	return edge.ObjectKinds{
		Config: platform.ConfigKind, MainConfigKey: platform.ConfigKey, Targets: platform.TargetKind, Versions: platform.VersionKind,
		DecodeConfig: platform.DecodeConfig, DecodeTarget: platform.DecodeTarget,
		DecodeVersion: func(value []byte) (placer.Adapter, int64, error) {
			v, err := platform.DecodeVersion(value)
			return placer.Adapter{Model: v.Model, Name: v.Adapter}, v.Version, err
		},
	}
}

// awaitSignals closes stop at the first SIGTERM. SIGHUP only checks the settings
// file: what may change there takes effect at the next start.
func awaitSignals(log zerolog.Logger, path string, stop chan<- struct{}) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
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
