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
	Engine  string  `json:"engine"`
	Host    string  `json:"-"` // where this node reaches it, if its id is no address
	Kind    string  `json:"kind"`
	Zone    string  `json:"zone,omitempty"`
	Cell    string  `json:"cell,omitempty"`
	Weight  float64 `json:"weight,omitempty"`
	State   string  `json:"state"`
	UpSince int64   `json:"up_since_ms,omitempty"`
	Epoch   int64   `json:"epoch,omitempty"` // of its role; 0 where it never changes
}

// The states of an entry; an engine that is gone is not listed.
const (
	Ready    = "ready"
	Draining = "draining"
)

// List is a whole list. Its revision only grows.
type List struct {
	Revision int64   `json:"revision"`
	Engines  []Entry `json:"engines"`
}

// Source hands lists to take until ctx ends; each replaces the one before. fault is told what went wrong; the
// old list stays then.
type Source interface {
	Run(ctx context.Context, take func(List), fault func(error))
}

// A list of ten thousand engines has about this many bytes.
const maxFile = 4 << 20

// Parse reads a list and checks it whole: one bad entry makes all of it doubtful.
func Parse(data []byte) (List, error) {
	var list List
	if len(data) > maxFile {
		return list, fmt.Errorf("list has %d bytes, at most %d are read", len(data), maxFile)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&list); err != nil {
		return list, fmt.Errorf("list is cut short or is no JSON: %w", err)
	}
	if d.More() {
		return list, errors.New("list is followed by something else")
	}
	if list.Engines == nil {
		return list, errors.New("list has no engines field; an empty one is written []")
	}
	return list, Check(list.Engines)
}

// Check looks at each entry of a list, whoever brings it.
func Check(engines []Entry) error {
	seen := map[string]bool{}
	for i, e := range engines {
		at, err := netip.ParseAddrPort(e.Engine)
		switch {
		case err != nil || at.Port() == 0:
			return fmt.Errorf("engines[%d].engine: %q is not address:port", i, e.Engine)
		case seen[e.Engine]:
			return fmt.Errorf("engines[%d].engine: %s is listed twice", i, e.Engine)
		case e.Kind == "":
			return fmt.Errorf("engines[%d].kind is missing", i)
		case e.State != Ready && e.State != Draining:
			return fmt.Errorf("engines[%d].state: %q is not %s or %s", i, e.State, Ready, Draining)
		case e.Weight < 0 || e.UpSince < 0 || e.Epoch < 0:
			return fmt.Errorf("engines[%d]: weight, up_since_ms and epoch must not be negative", i)
		}
		seen[e.Engine] = true
	}
	return nil
}

// Write puts a list in place of the file at path, whole or not at all.
func Write(path string, list List) error {
	data, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".roster-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err := f.Write(append(data, '\n')); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// File is a source that watches a file.
type File struct {
	Path  string
	Every time.Duration // between two looks; 0 for 50 ms
}

// Run is Source's.
func (f File) Run(ctx context.Context, take func(List), fault func(error)) {
	// 50 ms: a fifth of the shortest drain grace that operators have asked for.
	every := f.Every
	if every <= 0 {
		every = 50 * time.Millisecond
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	var seen []byte
	var said string
	revision := int64(-1)
	for {
		data, err := os.ReadFile(f.Path)
		if err == nil && !bytes.Equal(data, seen) {
			var list List
			if list, err = Parse(data); err == nil && list.Revision < revision {
				err = fmt.Errorf("revision %d is older than %d", list.Revision, revision)
			}
			if err == nil {
				seen, said, revision = data, "", list.Revision
				take(list)
			}
		}
		if err != nil && err.Error() != said {
			said = err.Error()
			fault(fmt.Errorf("roster %s: %w; the list before stays", f.Path, err))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
