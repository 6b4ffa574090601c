// Package roster tells a node which engines there are. Today the list comes from a watched file; whatever
// comes later hands over the same news.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Entry is one engine. UpSince is in Unix milliseconds, 0 for long ago.
type Entry struct {
	ID          string  `json:"engine"`
	Address     string  `json:"-"` // where this node reaches it, if its id is no address
	Kind        string  `json:"kind"`
	Zone        string  `json:"zone,omitempty"`
	Cell        string  `json:"cell,omitempty"`
	Weight      float64 `json:"weight,omitempty"`
	State       string  `json:"state"`
	StartedAtMs int64   `json:"up_since_ms,omitempty"`
	RoleEpoch   int64   `json:"epoch,omitempty"` // of its role; 0 where it never changes
}

// The states of an entry; an engine that is gone is not listed.
const (
	Ready    = "ready"
	Draining = "draining"
)

// List is a whole list. Its revision only grows.
type List struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"engines"`
}

// Source hands lists to take until ctx ends; each replaces the one before. fault is told what went wrong; the
// old list stays then.
type Source interface {
	Run(ctx context.Context, take func(List), fault func(error))
}

// A list of ten thousand engines has about this many bytes.
const maxListBytes = 4 << 20

// Parse reads a list and checks it whole: one bad entry makes all of it doubtful.
func Parse(data []byte) (List, error) {
	var list List
	if len(data) > maxListBytes {
		return list, fmt.Errorf("list has %d bytes, at most %d are read", len(data), maxListBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return list, fmt.Errorf("list is cut short or is no JSON: %w", err)
	}
	if decoder.More() {
		return list, errors.New("list is followed by something else")
	}
	if list.Entries == nil {
		return list, errors.New("list has no engines field; an empty one is written []")
	}
	return list, Validate(list.Entries)
}

// Validate looks at each entry of a list, whoever brings it.
func Validate(entries []Entry) error {
	seen := map[string]bool{}
	for i, entry := range entries {
		address, err := netip.ParseAddrPort(entry.ID)
		switch {
		case err != nil || address.Port() == 0:
			return fmt.Errorf("engines[%d].engine: %q is not address:port", i, entry.ID)
		case seen[entry.ID]:
			return fmt.Errorf("engines[%d].engine: %s is listed twice", i, entry.ID)
		case entry.Kind == "":
			return fmt.Errorf("engines[%d].kind is missing", i)
		case entry.State != Ready && entry.State != Draining:
			return fmt.Errorf("engines[%d].state: %q is not %s or %s", i, entry.State, Ready, Draining)
		case entry.Weight < 0 || entry.StartedAtMs < 0 || entry.RoleEpoch < 0:
			return fmt.Errorf("engines[%d]: weight, up_since_ms and epoch must not be negative", i)
		}
		seen[entry.ID] = true
	}
	return nil
}

// WriteFile puts a list in place of the file at path, whole or not at all.
func WriteFile(path string, list List) error {
	data, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".roster-*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	if _, err := file.Write(append(data, '\n')); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}

// FileSource is a source that watches a file.
type FileSource struct {
	Path         string
	PollInterval time.Duration // between two looks; 0 for 50 ms
}

// Run is Source's.
func (f FileSource) Run(ctx context.Context, onList func(List), onError func(error)) {
	// 50 ms: a fifth of the shortest drain grace that operators have asked for.
	interval := f.PollInterval
	if interval <= 0 {
		interval = 50 * time.Millisecond
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lastData []byte
	var lastError string
	revision := int64(-1)
	for {
		data, err := os.ReadFile(f.Path)
		if err == nil && !bytes.Equal(data, lastData) {
			var list List
			if list, err = Parse(data); err == nil && list.Revision < revision {
				err = fmt.Errorf("revision %d is older than %d", list.Revision, revision)
			}
			if err == nil {
				lastData, lastError, revision = data, "", list.Revision
				onList(list)
			}
		}
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			onError(fmt.Errorf("roster %s: %w; the list before stays", f.Path, err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
