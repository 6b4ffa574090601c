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

// Limits of retrying to read the configuration at startup, if this machine runs short of file descriptors or memory.
const (
	maxOpenAttempts   = 100
	openRetryInterval = 50 * time.Millisecond
)

// errConfigTooLarge reports a file that exceeds platform.MaxConfigBytes. The text is printed when the edge rejects the file.
var errConfigTooLarge = errors.New("configuration is larger than the limit")

// readConfigAtStartup reads the platform's configuration, and retries if the error is caused by this machine.
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

// parseConfig parses a configuration file; err is the error of reading the file. The returned error is a script.Faults.
func parseConfig(file string, data []byte, err error) (*platform.NodeConfig, error) {
	if err != nil {
		return nil, script.Faults{&script.Fault{File: file, Err: err}}
	}
	return platform.ParseNodeConfig(file, data)
}

// readBounded reads a file of at most platform.MaxConfigBytes bytes.
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
