package main

import (
	"context"
	"errors"
	"fmt"
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
	openTries = 100
	openPause = 50 * time.Millisecond
)

// readAtStart reads the platform's configuration, and waits for a descriptor if there is none.
func readAtStart(file string) (*platform.NodeConfig, error) {
	data, err := readBounded(file)
	for tries := 1; neterr.IsLocal(err) && tries < openTries; tries++ {
		time.Sleep(openPause)
		data, err = readBounded(file)
	}
	return parseTold(file, data, err)
}

// readTold reads the platform's configuration once.
func readTold(file string) (*platform.NodeConfig, error) {
	data, err := readBounded(file)
	return parseTold(file, data, err)
}

// parseTold makes a configuration of what was read of its file; the error, if any, is of type script.Faults.
func parseTold(file string, data []byte, err error) (*platform.NodeConfig, error) {
	if err != nil {
		return nil, script.Faults{fmt.Sprintf("%s: %v", file, err)}
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

// onPlatform runs the node that the platform's configuration describes, until SIGTERM. A further SIGTERM changes nothing:
// the node is ending, and the platform has SIGKILL for what it does not want to wait for.
func onPlatform(file string, asked process.Signals) error {
	told, err := readAtStart(file)
	if err != nil {
		return err
	}
	d, err := told.Deployment(file)
	if err != nil {
		return err
	}
	// Three fifths: the rest is for stacks, the kernel's buffers and what the collector has not had yet.
	debug.SetMemoryLimit(int64(told.MemoryBytes()) * 3 / 5)
	// More than the one core: a poller that waits for sockets must not keep the owner from running.
	runtime.GOMAXPROCS(4)
	log := process.NewLogger()
	defer log.Sync()
	at := make(chan string, 1)
	at <- told.DiscoveryAddress
	agent := discovery.Client{Addresses: at, Cached: told.CachedEndpoints}
	n := edge.NewOn(d, log, agent, told.SeedValue(), platform.NewCodec(told.LoadReportFields()))
	if err := n.HearPeers(told.PeerListenAddress, told.Peers, told.PeerBroadcastAddress); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	reloads := &reloader{file: file, reload: asked.Reload, at: at, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reloads.run(ctx)
	<-asked.Stop
	if err := n.Drain(context.Background()); err != nil {
		log.Warn("stopped with inferences open", zap.Error(err))
	}
	return nil
}
