package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/netaddr"
)

// Reasons why a response is rejected. Other reasons are its size (*endpoint.SizeError) and syntax (endpoint.ErrMalformed).
var (
	ErrNoGeneration = errors.New("list has no generation")
	ErrNoSnapshot   = errors.New("changes arrived before a snapshot")
)

// response is one response of the discovery service: a snapshot, or the changes since a generation.
type response struct {
	Generation int64
	Snapshot   bool
	Instances  []json.RawMessage // instances are decoded one by one, so that an invalid one does not affect the others
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

// lifecycle is the state of an instance as named by the discovery service.
type lifecycle string

const (
	serving  lifecycle = "SERVING"
	draining lifecycle = "DRAINING"
	deleted  lifecycle = "DELETED"
)

// instance is an engine in a response of the discovery service.
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

// parseInstance decodes one instance. If the decoding fails, the lifecycle is empty, which makes the instance invalid. The ID
// may still be set, as a field of a wrong type does not prevent the decoding of the other fields.
func parseInstance(raw json.RawMessage) instance {
	var in instance
	if json.Unmarshal(raw, &in) != nil {
		in.Lifecycle = ""
	}
	return in
}

// valid reports whether an instance can be added, updated or deleted.
func (in *instance) valid() bool {
	switch in.Lifecycle {
	case deleted:
		return in.ID != ""
	case serving, draining:
		return in.ID != "" && in.StartedAtMs >= 0 && netaddr.Check(in.Address) == nil
	}
	return false
}

// entry converts a valid instance to an entry of the endpoint list.
func (in *instance) entry() endpoint.Entry {
	state := endpoint.Ready
	if in.Lifecycle == draining {
		state = endpoint.Draining
	}
	return endpoint.Entry{ID: in.ID, Address: in.Address, Kind: in.MachineType, Zone: in.Zone, Cell: in.Cell.String(),
		Weight: max(0, in.Weight), State: state, StartedAtMs: in.StartedAtMs}
}
