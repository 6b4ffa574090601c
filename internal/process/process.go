// Package process sets up the signals and the log of a long-running program.
package process

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sandcourse/internal/asynclog"
)

// Signals are the signals that the operating system sends to the process.
type Signals struct {
	Stop   <-chan os.Signal // SIGTERM or SIGINT
	Reload <-chan os.Signal // SIGHUP
}

// CatchSignals has to be the first call of a program: each of these signals ends a process that does not catch it, even
// during its start. A write to a log whose reader has ended raises SIGPIPE; ignored, the write fails instead.
func CatchSignals() Signals {
	signal.Ignore(syscall.SIGPIPE)
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{stop, reload}
}

// AwaitStop waits for Stop, in a program that reads its settings only when it starts: Reload is logged and has no other
// effect.
func (s Signals) AwaitStop(log *zap.Logger) {
	for {
		select {
		case <-s.Stop:
			return
		case received := <-s.Reload:
			log.Warn("reload not supported, restart to apply settings", zap.Stringer("signal", received))
		}
	}
}

// Of the lines with the same message, the first logSampleInitial of each second are written, and then each
// logSampleThereafter-th.
const (
	logSampleInitial    = 100
	logSampleThereafter = 100
)

// NewLogger returns the logger of the process: JSON lines on standard error, written without blocking the caller.
func NewLogger() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, asynclog.New(os.Stderr), zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, logSampleInitial, logSampleThereafter)
	return zap.New(sampled, zap.AddCaller(), zap.AddStacktrace(zap.ErrorLevel))
}
