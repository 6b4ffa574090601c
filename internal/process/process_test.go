package process

import (
	"os"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// A program that cannot reload its settings logs SIGHUP and continues until it is stopped.
func TestAwaitStopLogsReload(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	stop, reload := make(chan os.Signal), make(chan os.Signal)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		Signals{Stop: stop, Reload: reload}.AwaitStop(zap.New(core))
	}()
	reload <- syscall.SIGHUP
	stop <- syscall.SIGTERM
	<-stopped
	if logged := lines.All(); len(logged) != 1 || logged[0].ContextMap()["signal"] != "hangup" {
		t.Errorf("logged %v, want one line with the signal", logged)
	}
}
