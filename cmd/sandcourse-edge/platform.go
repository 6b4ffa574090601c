package main

import (
	"context"
	"errors"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/config/script"
	"sandcourse/internal/discovery"
	"sandcourse/internal/edge"
	"sandcourse/internal/neterr"
	"sandcourse/internal/process"
	"sandcourse/internal/protocol/platform"
)

// A configuration that cannot be opened at the start, for want of descriptors or memory, is tried again for a while.
const (
	maxOpenAttempts   = 100
	openRetryInterval = 50 * time.Millisecond
)

// readConfigAtStartup reads the platform's configuration, and waits for a descriptor if there is none.
func readConfigAtStartup(file string) (*platform.NodeConfig, error) {
	data, err := readBounded(file)
	for attempt := 1; neterr.IsLocal(err) && attempt < maxOpenAttempts; attempt++ {
		time.Sleep(openRetryInterval)
		data, err = readBounded(file)
	}
	return parseConfig(file, data, err)
}

// readConfig reads the platform's configuration once.
func readConfig(file string) (*platform.NodeConfig, error) {
	data, err := readBounded(file)
	return parseConfig(file, data, err)
}

// parseConfig makes a configuration of what was read of its file; the error, if any, is of type script.Faults.
func parseConfig(file string, data []byte, err error) (*platform.NodeConfig, error) {
	if err != nil {
		return nil, script.Faults{&script.Fault{File: file, Err: err}}
	}
	return platform.ParseNodeConfig(file, data)
}

func readBounded(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, platform.MaxConfigBytes+1))
	if err == nil && len(data) > platform.MaxConfigBytes {
		err = errors.New("it is over its bound")
	}
	return data, err
}

// runOnPlatform runs the node that the platform's configuration describes, until SIGTERM. A further SIGTERM changes nothing:
// the node is ending, and the platform has SIGKILL for what it does not want to wait for.
func runOnPlatform(file string, signals process.Signals) error {
	configuration, err := readConfigAtStartup(file)
	if err != nil {
		return err
	}
	deployment, err := configuration.Deployment(file)
	if err != nil {
		return err
	}
	// Three fifths: the rest is for stacks, the kernel's buffers and what the collector has not had yet.
	debug.SetMemoryLimit(int64(configuration.MemoryBytes()) * 3 / 5)
	// More than the one core: a poller that waits for sockets must not keep the owner from running.
	runtime.GOMAXPROCS(4)
	log := process.NewLogger()
	defer log.Sync()
	discoveryAddress := make(chan string, 1)
	discoveryAddress <- configuration.DiscoveryAddress
	agent := discovery.Client{Addresses: discoveryAddress, Cached: configuration.CachedEndpoints}
	node := edge.NewWithProtocol(deployment, log, agent, configuration.SeedValue(), platform.NewCodec(configuration.LoadReportFields()))
	if err := node.ListenForPeers(configuration.PeerListenAddress, configuration.Peers, configuration.PeerBroadcastAddress); err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	reloads := &reloader{file: file, hangups: signals.Reload, discoveryAddress: discoveryAddress, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reloads.run(ctx)
	<-signals.Stop
	if err := node.Drain(context.Background()); err != nil {
		log.Warn("stopped with inferences open", zap.Error(err))
	}
	return nil
}
