package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"sandcourse/discover"
	"sandcourse/edge"
	"sandcourse/platform"
	"sandcourse/script"
)

// readTold reads the platform's configuration; the error, if any, is of type script.Faults.
func readTold(file string) (*platform.Told, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, script.Faults{err.Error()}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, platform.MaxTold+1))
	if err == nil && len(data) > platform.MaxTold {
		err = errors.New("it is over its bound")
	}
	if err != nil {
		return nil, script.Faults{fmt.Sprintf("%s: %v", file, err)}
	}
	return platform.ReadTold(file, data)
}

// onPlatform runs the node that the platform's configuration describes.
func onPlatform(file string) error {
	told, err := readTold(file)
	if err != nil {
		return err
	}
	d, err := told.Deployment(file)
	if err != nil {
		return err
	}
	// Three fifths: the rest is for stacks, the kernel's buffers and what the collector has not had yet.
	debug.SetMemoryLimit(int64(told.Memory()) * 3 / 5)
	// More than the one core: a poller that waits for sockets must not keep the owner from running.
	runtime.GOMAXPROCS(4)
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer log.Sync()
	at := make(chan string, 1)
	at <- told.Discovery
	agent := discover.Agent{At: at, Known: told.Known}
	n := edge.NewOn(d, log, agent, told.SeedNumber(), platform.New(told.Reports()))
	if err := n.HearPeers(told.PeerListen, told.Peers, told.PeersAll); err != nil {
		return err
	}
	anew := make(chan os.Signal, 1)
	signal.Notify(anew, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	if err := n.Start(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-anew:
			// Only where discovery is may change in a running node; all else takes a restart.
			t, err := readTold(file)
			if err != nil {
				log.Warn("the configuration is not read anew", zap.Error(err))
				continue
			}
			log.Info("configuration read anew", zap.String("discovery", t.Discovery))
			at <- t.Discovery
		}
	}
	stop()
	if err := n.Drain(context.Background()); err != nil {
		log.Warn("stopped with inferences open", zap.Error(err))
	}
	return nil
}
