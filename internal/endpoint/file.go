package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// defaultPollInterval is a fifth of the shortest drain grace that operators have requested.
const defaultPollInterval = 50 * time.Millisecond

// WriteFile atomically replaces the list in the file at path.
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

// FileSource is a Source that polls a file.
type FileSource struct {
	Path         string
	PollInterval time.Duration // interval between reads of the file; 0 for defaultPollInterval
}

// Run implements Source. A persistent error is reported once.
func (f FileSource) Run(ctx context.Context, onList func(List), onError func(error)) {
	interval := f.PollInterval
	if interval <= 0 {
		interval = defaultPollInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	reader := fileReader{path: f.Path, revision: -1}
	lastError := ""
	for {
		list, changed, err := reader.read()
		switch {
		case changed:
			lastError = ""
			onList(list)
		case err != nil && err.Error() != lastError:
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

// fileReader reads a list from a file and detects changes.
type fileReader struct {
	path     string
	data     []byte // text of the last valid list
	revision int64  // revision of the last valid list; -1 before the first list
}

// read returns the list in the file if it is valid and differs from the last valid list.
func (r *fileReader) read() (list List, changed bool, err error) {
	data, err := os.ReadFile(r.path)
	if err != nil || bytes.Equal(data, r.data) {
		return List{}, false, err
	}
	list, err = Parse(data)
	if err == nil && list.Revision < r.revision {
		err = &RollbackError{list.Revision, r.revision}
	}
	if err != nil {
		return List{}, false, err
	}
	r.data, r.revision = data, list.Revision
	return list, true, nil
}
