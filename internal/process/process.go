// Package process is what each of the long-running programs does with its signals and its log.
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

// Signals are what the operating system asks of the process.
type Signals struct {
	Stop   <-chan os.Signal // SIGTERM or SIGINT
	Reload <-chan os.Signal // SIGHUP
}

// CatchSignals is the first that a program does: each of these signals ends a process that does not catch it, also in the
// middle of its start. A write to a log whose reader has ended raises SIGPIPE; ignored, the write fails instead.
func CatchSignals() Signals {
	signal.Ignore(syscall.SIGPIPE)
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{stop, reload}
}

// AwaitStop waits for Stop, in a program that reads its settings at its start alone: SIGHUP is told in the log.
func (s Signals) AwaitStop(log *zap.Logger) {
	for {
		select {
		case <-s.Stop:
			return
		case <-s.Reload:
			log.Warn("SIGHUP: the settings are read at the start alone; restart the program to change them")
		}
	}
}

// Of lines with the same message, the first of each second are written, and then one in so many.
const (
	logSampleInitial    = 100
	logSampleThereafter = 100
)

// NewLogger makes the process's log: JSON lines on standard error, written so that nobody waits for their reader.
func NewLogger() *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), asynclog.New(os.Stderr), zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logSampleInitial, logSampleThereafter), zap.AddCaller(),
		zap.AddStacktrace(zap.ErrorLevel))
}
