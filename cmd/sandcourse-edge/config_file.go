package main

import (
	"errors"
	"io"
	"os"
	"time"

	"sandcourse/internal/config/script"
	"sandcourse/internal/neterr"
	"sandcourse/internal/protocol/platform"
)

// A configuration that cannot be opened at startup, for want of descriptors or memory, is retried for a while.
const (
	maxOpenAttempts   = 100
	openRetryInterval = 50 * time.Millisecond
)

// errConfigTooLarge says that a file is over platform.MaxTold. Its text is a part of what a refusal prints.
var errConfigTooLarge = errors.New("it is over its bound")

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

// parseConfig parses what was read of a configuration's file, or reports why it was not; the error is a script.Faults.
func parseConfig(file string, data []byte, err error) (*platform.NodeConfig, error) {
	if err != nil {
		return nil, script.Faults{&script.Fault{File: file, Err: err}}
	}
	return platform.ParseNodeConfig(file, data)
}

// readBounded reads a file of at most platform.MaxTold bytes.
func readBounded(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, platform.MaxConfigBytes+1))
	if err == nil && len(data) > platform.MaxConfigBytes {
		err = errConfigTooLarge
	}
	return data, err
}
