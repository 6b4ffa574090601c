package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/netaddr"
)

// Reasons why a response is refused, beside its size (*endpoint.SizeError) and form (endpoint.ErrMalformed).
var (
	ErrNoGeneration = errors.New("list has no generation")
	ErrNoSnapshot   = errors.New("changes came before a whole list")
)

// response is one response of discovery: a snapshot, or the changes since a generation.
type response struct {
	Generation int64
	Snapshot   bool
	Instances  []json.RawMessage // decoded one by one, so that an invalid one concerns no other
}

func parseResponse(body []byte) (*response, error) {
	if err := endpoint.CheckSize(body); err != nil {
		return nil, err
	}
	var r struct {
		Generation *int64            `json:"generation"`
		Snapshot   bool              `json:"reset"`
		Instances  []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrMalformed, err)
	}
	if r.Generation == nil {
		return nil, ErrNoGeneration
	}
	return &response{*r.Generation, r.Snapshot, r.Instances}, nil
}

// lifecycle is the state of an instance as discovery names it.
type lifecycle string

const (
	serving  lifecycle = "SERVING"
	draining lifecycle = "DRAINING"
	deleted  lifecycle = "DELETED"
)

// instance is one engine as discovery describes it.
type instance struct {
	ID          string      `json:"instanceId"`
	Address     string      `json:"hostPort"`
	Zone        string      `json:"zone"`
	MachineType string      `json:"machineType"`
	Cell        json.Number `json:"cell"`
	Lifecycle   lifecycle   `json:"lifecycle"`
	Weight      float64     `json:"weight"`
	StartedAtMs int64       `json:"startedAtMs"`
}

// parseInstance decodes one instance. One that can't be decoded has no lifecycle, which makes it invalid, but may have its
// ID: a field of a wrong type leaves the other fields as they are read.
func parseInstance(raw json.RawMessage) instance {
	var in instance
	if json.Unmarshal(raw, &in) != nil {
		in.Lifecycle = ""
	}
	return in
}

// valid is whether an instance can be listed or removed.
func (in *instance) valid() bool {
	switch in.Lifecycle {
	case deleted:
		return in.ID != ""
	case serving, draining:
		return in.ID != "" && in.StartedAtMs >= 0 && netaddr.Check(in.Address) == nil
	}
	return false
}

// entry is a valid instance as an entry of the endpoint list.
func (in *instance) entry() endpoint.Entry {
	state := endpoint.Ready
	if in.Lifecycle == draining {
		state = endpoint.Draining
	}
	return endpoint.Entry{ID: in.ID, Address: in.Address, Kind: in.MachineType, Zone: in.Zone, Cell: in.Cell.String(),
		Weight: max(0, in.Weight), State: state, StartedAtMs: in.StartedAtMs}
}
