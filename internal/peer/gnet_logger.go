package peer

import "github.com/rs/zerolog"

// gnetLogger writes the warnings and errors of gnet to a zerolog.Logger. It
// implements logging.Logger of gnet.
type gnetLogger struct{ logger zerolog.Logger }

func (gnetLogger) Debugf(string, ...any) {}

func (gnetLogger) Infof(string, ...any) {}

func (l gnetLogger) Warnf(format string, args ...any) { l.logger.Warn().Msgf(format, args...) }

func (l gnetLogger) Errorf(format string, args ...any) { l.logger.Error().Msgf(format, args...) }

// Fatalf logs an error and does not end the process, because StartHeartbeats
// returns the error.
func (l gnetLogger) Fatalf(format string, args ...any) { l.logger.Error().Msgf(format, args...) }
