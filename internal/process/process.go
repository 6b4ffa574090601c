// Package process sets up the signal handling and the logger of a long-running program.
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

// Signals are the channels on which the process receives signals.
type Signals struct {
	Stop   <-chan os.Signal // SIGTERM or SIGINT
	Reload <-chan os.Signal // SIGHUP
}

// CatchSignals registers the handlers of Signals. It must be the first call of a program, because each of these signals
// terminates a process that does not catch it, even during startup. A write to a log whose reader has exited raises
// SIGPIPE, which is ignored, so that the write fails instead.
func CatchSignals() Signals {
	signal.Ignore(syscall.SIGPIPE)
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{stop, reload}
}

// AwaitStop waits for Stop in a program that reads its settings only at startup: Reload is logged but has no other effect.
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

// Log sampling: in each second, the first logSampleInitial lines with the same message are written, and then every
// logSampleThereafter-th line.
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
