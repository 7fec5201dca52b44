package peer

import "github.com/rs/zerolog"

// socketLogger passes warnings and errors of gnet on. It implements
// logging.Logger of gnet.
type socketLogger struct{ logger zerolog.Logger }

func (socketLogger) Debugf(string, ...any) {}

func (socketLogger) Infof(string, ...any) {}

func (l socketLogger) Warnf(format string, args ...any) { l.logger.Warn().Msgf(format, args...) }

func (l socketLogger) Errorf(format string, args ...any) { l.logger.Error().Msgf(format, args...) }

// Fatalf does not end the process: StartHeartbeats returns the failure.
func (l socketLogger) Fatalf(format string, args ...any) { l.logger.Error().Msgf(format, args...) }
