package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"sandcourse/internal/discovery"
	"sandcourse/internal/edge"
	"sandcourse/internal/process"
	"sandcourse/internal/protocol/platform"
)

const (
	// The heap may use three fifths of the platform's memory limit; the rest is for stacks, the kernel's buffers and
	// memory that the garbage collector has not freed yet.
	heapNumerator, heapDenominator = 3, 5
	// maxProcs exceeds the one core that the platform provides: a poller that waits for sockets must not keep the owner from
	// running.
	maxProcs = 4
)

// runOnPlatform runs the edge that the platform's configuration describes, until SIGTERM or SIGINT. A further signal has no
// effect: the edge is draining already, and the platform can send SIGKILL if it does not want to wait.
func runOnPlatform(file string, signals process.Signals) error {
	configuration, err := readConfigAtStartup(file)
	if err != nil {
		return err
	}
	deployment, err := configuration.Deployment(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(configuration.MemoryBytes()) * heapNumerator / heapDenominator)
	runtime.GOMAXPROCS(maxProcs)
	log := process.NewLogger()
	defer log.Sync()
	discoveryAddress := make(chan string, 1)
	discoveryAddress <- configuration.DiscoveryAddress
	agent := discovery.Client{Addresses: discoveryAddress, Cached: configuration.CachedEndpoints}
	e := edge.NewWithProtocol(deployment, log, agent, configuration.SeedValue(), platform.NewCodec(configuration.LoadReportFields()))
	if err := e.ListenForPeers(configuration.PeerListenAddress, configuration.Peers, configuration.PeerBroadcastAddress); err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go (&reloader{file: file, reloadSignals: signals.Reload, discoveryAddress: discoveryAddress, log: log}).run(ctx)
	<-signals.Stop
	drain(e, log)
	return nil
}
