package validate

import (
	"fmt"

	"windflow/dispatch"
	"windflow/internal/settings"
)

const (
	// sessionShare is the share of the file descriptors that client sessions may use. Clients use up to a third.
	sessionShare = 0.4
	// maxQueuedShare is the maximum number of queued requests as a share of the file descriptors; see DispatchConfig.
	maxQueuedShare = 1.0 / 12

	// ReservedDescriptors is the number of file descriptors for the listeners, discovery, the log, the poller,
	// operators, and connections that use two descriptors for a moment while package net's dialer hands them to the
	// poller. At most a third of all descriptors is reserved for these and the successor.
	ReservedDescriptors = 64
	// SuccessorDescriptors is the number of file descriptors left for the successor in a hot restart, which needs them
	// before the two processes have connected. Both processes share the limit of descriptors.
	SuccessorDescriptors = 40

	// minEngineConnections is the minimum number of connections to engines that a router needs.
	minEngineConnections = 16

	defaultDescriptors = 1024
	defaultMemoryMB    = 192

	minInboundBytes = 256 << 10
	maxInboundBytes = 4 << 20
)

// ResourceLimits has the limits of the parts of a router that result from its configuration.
type ResourceLimits struct {
	InboundBytes      int // received bytes that are not handled yet
	ClientSessions    int
	BufferedBytes     int // bytes of responses that clients have not read yet
	EngineConnections int
}

// DivideResources divides file descriptors and memory among the parts of a router. reserved is the number of
// descriptors of parts that the configuration does not contain. The error names the field that is too low.
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
		return limits, fmt.Errorf("field limits.sockets: %d leaves %d connections for engines, expected at least %d",
			descriptors, limits.EngineConnections, minEngineConnections)
	}
	return limits, nil
}

// orDefault returns the value, or the default if the value is 0.
func orDefault(value, defaultValue int) int {
	if value == 0 {
		return defaultValue
	}
	return value
}

// DispatchConfig converts the settings to the configuration of dispatch and bounds its queues by the number of file
// descriptors. Clients have at most a third of the descriptors open. If the requests on most of these connections
// waited in queues, new requests could not even be admitted.
func DispatchConfig(cfg *settings.Node, seed uint64) (dispatch.Config, error) {
	dispatchConfig, err := cfg.Settings.DispatchConfig(seed)
	dispatchConfig.MaxQueued = int(maxQueuedShare * float64(cfg.Limits.Sockets))
	return dispatchConfig, err
}
