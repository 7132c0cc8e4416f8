package validate

import (
	"fmt"

	"windflow/dispatch"
	"windflow/internal/settings"
)

const (
	// sessionShare is the share of the descriptors that client sessions may hold; clients use up to a third.
	sessionShare = 0.4
	// heldShare is the number of requests against the descriptors that may be held at once; see Decisions.
	heldShare = 1.0 / 12
	// ReservedDescriptors descriptors are for the listeners, the board, the log, the poller, operators, and connections that stand
	// twice for a moment while they pass from the system's dialer to the poller; a third of them all where they are few.
	ReservedDescriptors = 64
	// SuccessorDescriptors descriptors are left for a successor, which needs them before the two have met; they count together.
	SuccessorDescriptors = 40
	// leastEngineConns is the number of connections to engines below which a router can't work.
	leastEngineConns = 16

	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// ResourceLimits are the numbers that a configuration gives the parts of a router: bytes, and how many of a thing at most.
type ResourceLimits struct {
	InboundBytes      int // bytes read and not yet handled
	ClientSessions    int // of clients
	BufferedBytes     int // bytes of answers that clients have not taken yet
	EngineConnections int // connections to engines
}

// DivideResources divides the descriptors; taken are those of parts that the configuration does not name. Its error names the
// field.
func DivideResources(cfg *settings.Node, taken int) (ResourceLimits, error) {
	sockets := cfg.Limits.Sockets
	if sockets == 0 {
		sockets = defaultSockets
	}
	kept := min(ReservedDescriptors+SuccessorDescriptors, sockets/3)
	memory := cfg.Limits.MemoryMB << 20
	if memory == 0 {
		memory = defaultMemoryMB << 20
	}
	b := ResourceLimits{InboundBytes: min(max(memory/16, 256<<10), 4<<20), ClientSessions: int(sessionShare * float64(sockets)), BufferedBytes: memory / 8}
	b.EngineConnections = sockets - b.ClientSessions - kept - taken
	if b.EngineConnections < leastEngineConns {
		return b, fmt.Errorf("field limits.sockets: %d leaves no connections for engines", sockets)
	}
	return b, nil
}

// DispatchConfig gives what the module is told. Clients hold at most a third of the descriptors: were most of that taken by
// queries that are held with little hope, new ones could not even be asked.
func DispatchConfig(cfg *settings.Node, seed uint64) (dispatch.Config, error) {
	d, err := cfg.Settings.DispatchConfig(seed)
	d.MaxQueued = int(heldShare * float64(cfg.Limits.Sockets))
	return d, err
}
