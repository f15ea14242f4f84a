// Package telemetry sets up logs, metrics and traces in the same way for every
// program.
package telemetry

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one logfmt line of key=value pairs per
// event. The level is "debug", "info", "warn" or "error"; for any other it returns
// an error.
func NewLogger(output io.Writer, level, program string) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	return NewLeveledLogger(output, parsed, program), nil
}

// NewLeveledLogger is like NewLogger, with a level that can be changed at run
// time.
func NewLeveledLogger(output io.Writer, level zap.AtomicLevel, program string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(output)), level)
	return zap.New(core).With(zap.String("program", program))
}
