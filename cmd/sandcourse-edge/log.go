package main

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sandcourse/logsink"
)

// Of lines with the same message, the first of each second are written, and then one in so many.
const (
	sampledFirst = 100
	sampledEach  = 100
)

// newLog makes the process's log: JSON lines on standard error, written so that the node never waits for their reader.
func newLog() *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), logsink.New(os.Stderr), zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampledFirst, sampledEach), zap.AddCaller(),
		zap.AddStacktrace(zap.ErrorLevel))
}
