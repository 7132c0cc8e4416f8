package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// EndpointEvents is a list of engines, whole or what changed of it, and where they listen.
type EndpointEvents struct {
	Events    dispatch.EndpointList
	Addresses map[dispatch.EngineID]string
}

var states = map[string]dispatch.EndpointState{"active": dispatch.Live, "leaving": dispatch.Draining, "left": dispatch.Removed}

// ParseEndpoints folds the events that the configuration holds into one complete list, and gives the number of
// the last one.
func ParseEndpoints(text []byte) (EndpointEvents, uint64, error) {
	var known struct {
		Rev     uint64 `json:"rev"`
		Notices []struct {
			Rev  uint64 `json:"rev"`
			Pool *struct {
				Complete bool `json:"complete"`
				Members  []struct {
					ID       string  `json:"id"`
					HostPort string  `json:"host_port"`
					Locality string  `json:"locality"`
					Flavor   string  `json:"flavor"`
					Cell     int     `json:"cell"`
					Phase    string  `json:"phase"`
					Size     float64 `json:"size"`
					UpSince  float64 `json:"up_since_ms"`
				} `json:"members"`
			} `json:"pool"`
		} `json:"notices"`
	}
	l := EndpointEvents{Events: dispatch.EndpointList{Mode: dispatch.ListCached}, Addresses: map[dispatch.EngineID]string{}}
	if len(text) == 0 {
		return l, 0, nil
	}
	if err := Decode(text, &known); err != nil {
		return l, 0, err
	}
	at := map[dispatch.EngineID]int{}
	for i, n := range known.Notices {
		if n.Pool == nil {
			continue
		}
		if n.Pool.Complete {
			l.Events.Endpoints, l.Addresses = nil, map[dispatch.EngineID]string{}
			clear(at)
		}
		for j, m := range n.Pool.Members {
			field := fmt.Sprintf("notices[%d].pool.members[%d]", i, j)
			id, err := ParseEngineID(m.ID)
			if err != nil {
				return l, 0, fmt.Errorf("%s.id: %w", field, err)
			}
			state, ok := states[m.Phase]
			if !ok {
				return l, 0, fmt.Errorf("%s.phase: unknown value %q", field, m.Phase)
			}
			if _, err := netip.ParseAddrPort(m.HostPort); err != nil && state != dispatch.Removed {
				return l, 0, fmt.Errorf("%s.host_port: %q is no address and port", field, m.HostPort)
			}
			e := dispatch.Endpoint{
				ID: id, Cell: m.Cell, Zone: m.Locality, Kind: m.Flavor, CapacityWeight: m.Size, State: state,
				StartedAt: clock.Duration(m.UpSince),
			}
			if k, known := at[id]; known {
				l.Events.Endpoints[k] = e
			} else {
				at[id] = len(l.Events.Endpoints)
				l.Events.Endpoints = append(l.Events.Endpoints, e)
			}
			l.Addresses[id] = m.HostPort
		}
	}
	return l, known.Rev, nil
}

// FormatEngineID gives an engine's id as it stands in text.
func FormatEngineID(id dispatch.EngineID) string { return fmt.Sprintf("s-%08x", uint32(id)) }

// ParseEngineID reads an engine's id as it stands in text.
func ParseEngineID(s string) (dispatch.EngineID, error) {
	hex, ok := strings.CutPrefix(s, "s-")
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("%q is not s- and 8 hex digits", s)
	}
	return dispatch.EngineID(n), nil
}
