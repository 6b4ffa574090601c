package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"

	"sandcourse/internal/netaddr"
)

// MaxListBytes is the maximum size of an encoded list. A list of ten thousand engines has about three million bytes.
const MaxListBytes = 4 << 20

// CheckSize returns a *SizeError if data is larger than MaxListBytes.
func CheckSize(data []byte) error {
	if len(data) > MaxListBytes {
		return &SizeError{len(data), MaxListBytes}
	}
	return nil
}

// Parse decodes and validates a list in JSON. It rejects the whole list if any entry is invalid, because the other entries
// cannot be trusted either.
func Parse(data []byte) (List, error) {
	var list List
	if err := CheckSize(data); err != nil {
		return list, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return list, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if decoder.More() {
		return list, ErrTrailingData
	}
	if list.Entries == nil {
		return list, ErrNoEngines
	}
	return list, Validate(list.Entries)
}

// Validate checks the entries of a list from any source.
func Validate(entries []Entry) error {
	seen := map[string]bool{}
	for i, entry := range entries {
		if err := netaddr.Check(entry.ID); err != nil {
			return fmt.Errorf("engines[%d].engine: %w", i, err)
		}
		switch {
		case seen[entry.ID]:
			return fmt.Errorf("engines[%d].engine: %s %w", i, entry.ID, ErrDuplicateEngine)
		case entry.Kind == "":
			return fmt.Errorf("engines[%d].kind %w", i, ErrMissing)
		case entry.State != Ready && entry.State != Draining:
			return fmt.Errorf("engines[%d].state: %q %w", i, entry.State, ErrUnknownState)
		case entry.Weight < 0 || entry.StartedAtMs < 0 || entry.RoleEpoch < 0:
			return fmt.Errorf("engines[%d]: %w", i, ErrNegative)
		}
		seen[entry.ID] = true
	}
	return nil
}
