package validate

import (
	"fmt"

	"windflow/dispatch"
	"windflow/internal/settings"
)

const (
	// sessionShare is the share of the descriptors that client sessions may take; clients use up to a third.
	sessionShare = 0.4
	// maxQueuedShare is the number of queued requests against the number of descriptors; see DispatchConfig.
	maxQueuedShare = 1.0 / 12

	// ReservedDescriptors are for the listeners, discovery, the log, the poller, operators, and connections that
	// count twice for a moment while the system's dialer hands them to the poller; a third of all descriptors where
	// there are few.
	ReservedDescriptors = 64
	// SuccessorDescriptors are left for a successor, which needs them before the two processes have met; the limit of
	// descriptors is that of both.
	SuccessorDescriptors = 40

	// minEngineConnections is the number of connections to engines below which a router can't work.
	minEngineConnections = 16

	defaultDescriptors = 1024
	defaultMemoryMB    = 192

	minInboundBytes = 256 << 10
	maxInboundBytes = 4 << 20
)

// ResourceLimits are the limits that a configuration sets for the parts of a router.
type ResourceLimits struct {
	InboundBytes      int // read and not handled yet
	ClientSessions    int
	BufferedBytes     int // of responses that clients have not read yet
	EngineConnections int
}

// DivideResources divides descriptors and memory; reserved are the descriptors of parts that the configuration does
// not name. The error names the field.
func DivideResources(cfg *settings.Node, reserved int) (ResourceLimits, error) {
	descriptors := orDefault(cfg.Limits.Sockets, defaultDescriptors)
	memory := orDefault(cfg.Limits.MemoryMB<<20, defaultMemoryMB<<20)
	limits := ResourceLimits{
		InboundBytes:   min(max(memory/16, minInboundBytes), maxInboundBytes),
		ClientSessions: int(sessionShare * float64(descriptors)),
		BufferedBytes:  memory / 8,
	}
	reserved += min(ReservedDescriptors+SuccessorDescriptors, descriptors/3)
	limits.EngineConnections = descriptors - limits.ClientSessions - reserved
	if limits.EngineConnections < minEngineConnections {
		return limits, fmt.Errorf("field limits.sockets: %d leaves no connections for engines", descriptors)
	}
	return limits, nil
}

// orDefault returns the value, or the default for 0.
func orDefault(value, defaultValue int) int {
	if value == 0 {
		return defaultValue
	}
	return value
}

// DispatchConfig returns the configuration of dispatch. Its queues are bounded by the number of descriptors: clients
// have at most a third of them open, and if most of those waited in queues, new requests could not even be admitted.
func DispatchConfig(cfg *settings.Node, seed uint64) (dispatch.Config, error) {
	dispatchConfig, err := cfg.Settings.DispatchConfig(seed)
	dispatchConfig.MaxQueued = int(maxQueuedShare * float64(cfg.Limits.Sockets))
	return dispatchConfig, err
}
