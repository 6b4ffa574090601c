package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are what the operating system asks of the process.
type signals struct {
	stop   <-chan os.Signal // SIGTERM or SIGINT
	reload <-chan os.Signal // SIGHUP
}

// catchSignals is the first that the process does: each of these signals ends a process that does not catch it, also in
// the middle of its start. A write to a log whose reader has ended raises SIGPIPE; ignored, the write fails instead.
func catchSignals() signals {
	signal.Ignore(syscall.SIGPIPE)
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	return signals{stop, reload}
}
