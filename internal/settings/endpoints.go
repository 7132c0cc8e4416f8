package settings

import (
	"fmt"
	"net/netip"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// EndpointUpdate is a complete list of endpoints or a list of changes, with the addresses on which the engines listen.
type EndpointUpdate struct {
	List      dispatch.EndpointList
	Addresses map[dispatch.EngineID]string
}

// endpointStatesByName maps the platform's names for the states of an engine.
var endpointStatesByName = map[string]dispatch.EndpointState{
	"active": dispatch.Live, "leaving": dispatch.Draining, "left": dispatch.Removed,
}

// knownEndpoints is the JSON form of the endpoint events in a router's configuration.
type knownEndpoints struct {
	Revision uint64          `json:"rev"`
	Events   []endpointEvent `json:"notices"`
}

type endpointEvent struct {
	Revision uint64        `json:"rev"`
	Pool     *endpointPool `json:"pool"` // nil for other kinds of events
}

type endpointPool struct {
	Complete  bool             `json:"complete"` // the list replaces all earlier ones
	Endpoints []endpointRecord `json:"members"`
}

type endpointRecord struct {
	ID             string  `json:"id"`
	Address        string  `json:"host_port"`
	Zone           string  `json:"locality"`
	Kind           string  `json:"flavor"`
	Cell           int     `json:"cell"`
	State          string  `json:"phase"`
	CapacityWeight float64 `json:"size"`
	StartedAtMS    float64 `json:"up_since_ms"`
}

// ParseEndpoints applies the endpoint events of a configuration in order. It returns the resulting complete list and
// the revision of the last event, or an empty list and 0 for an empty text. The error names the invalid field.
func ParseEndpoints(text []byte) (EndpointUpdate, uint64, error) {
	endpoints := newEndpointSet()
	if len(text) == 0 {
		return endpoints.update, 0, nil
	}
	var known knownEndpoints
	if err := Decode(text, &known); err != nil {
		return endpoints.update, 0, err
	}
	for i, event := range known.Events {
		if event.Pool == nil {
			continue
		}
		if event.Pool.Complete {
			endpoints = newEndpointSet()
		}
		for j, record := range event.Pool.Endpoints {
			if err := endpoints.upsert(record); err != nil {
				return endpoints.update, 0, fmt.Errorf("notices[%d].pool.members[%d].%w", i, j, err)
			}
		}
	}
	return endpoints.update, known.Revision, nil
}

// endpointSet is a complete list of endpoints to which records are applied.
type endpointSet struct {
	update EndpointUpdate
	index  map[dispatch.EngineID]int // position in update.List.Endpoints
}

func newEndpointSet() *endpointSet {
	return &endpointSet{
		update: EndpointUpdate{
			List:      dispatch.EndpointList{Mode: dispatch.ListCached},
			Addresses: map[dispatch.EngineID]string{},
		},
		index: map[dispatch.EngineID]int{},
	}
}

// upsert adds an endpoint or replaces the one with the same ID. The error begins with the name of the invalid field.
func (s *endpointSet) upsert(record endpointRecord) error {
	endpoint, err := record.endpoint()
	if err != nil {
		return err
	}
	if index, known := s.index[endpoint.ID]; known {
		s.update.List.Endpoints[index] = endpoint
	} else {
		s.index[endpoint.ID] = len(s.update.List.Endpoints)
		s.update.List.Endpoints = append(s.update.List.Endpoints, endpoint)
	}
	s.update.Addresses[endpoint.ID] = record.Address
	return nil
}

// endpoint converts the record. The error begins with the name of the invalid field.
func (r endpointRecord) endpoint() (dispatch.Endpoint, error) {
	id, err := ParseEngineID(r.ID)
	if err != nil {
		return dispatch.Endpoint{}, fmt.Errorf("id: %w", err)
	}
	state, ok := endpointStatesByName[r.State]
	if !ok {
		return dispatch.Endpoint{}, fmt.Errorf("phase: unknown value %q", r.State)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil && state != dispatch.Removed {
		return dispatch.Endpoint{}, fmt.Errorf("host_port: %q is not an IP address and port", r.Address)
	}
	return dispatch.Endpoint{
		ID: id, Cell: r.Cell, Zone: r.Zone, Kind: r.Kind, CapacityWeight: r.CapacityWeight, State: state,
		StartedAt: clock.Duration(r.StartedAtMS),
	}, nil
}
