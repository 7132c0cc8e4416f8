package node

import (
	"runtime"
	"runtime/debug"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/enginehttp"
	"windflow/internal/mysql"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

const (
	// heapShare is the share of the memory limit that is set as the Go runtime's memory limit. The remainder is for
	// stacks, the poller's buffers, and freed pages that the kernel still counts.
	heapShare = 0.7
	// spareConns is how many connections to engines each process gives up while there are two, since the second process
	// needs descriptors for its own listeners, log, poller and link.
	spareConns = 16
	// minEngineConns is the least limit on connections to engines that a process has while there are two.
	minEngineConns = 16
	// reserveSessions and reserveConns are the limits of a process while the other process of the router hangs. They fit
	// into the descriptors that every process leaves for a successor (validate.Starting), less those that a process
	// needs to run.
	reserveSessions = 12
	reserveConns    = 12
)

// limits are the resources that a configuration assigns to each service.
type limits struct {
	inboundBytes int // bytes read from connections and not yet handled
	mysql        mysql.Config
	engines      enginehttp.Config
}

// limitsFromConfig returns the limits that a configuration assigns to each service. partDescriptors is the number of
// descriptors that parts may hold; the configuration does not list them, so they are subtracted. It fails if the
// configured resources do not suffice.
func limitsFromConfig(cfg *settings.Node, partDescriptors int) (limits, error) {
	bounds, err := validate.DivideResources(cfg, partDescriptors)
	return limits{
		inboundBytes: bounds.InboundBytes,
		mysql:        mysql.Config{MaxSessions: bounds.ClientSessions, MaxBuffered: bounds.BufferedBytes},
		engines: enginehttp.Config{
			MaxConns: bounds.EngineConnections, ConnectTimeoutMS: float64(cfg.Settings.Limits.ConnectTimeoutNS) / 1e6,
			IdleMS: float64(cfg.Settings.Limits.ConnectionIdleNS) / 1e6,
		},
	}, err
}

// processShare is what determines this process's share of the limits while two processes run the same router.
type processShare struct {
	share       hotrestart.Share
	partner     usageMessage // last usage report of the other process
	leaving     bool         // this process accepts no more and finishes what it accepted
	engineConns int          // connections to engines that this process has open
}

// restrict subtracts the other process's share from the limits. Buffers are halved. The limit on sessions is not halved
// but reduced by the number of sessions that the other process has open: the old process accepts no more, and the
// sessions that it closes are opened at the new one. At least a third of the limit on sessions remains. Connections to
// engines are halved; once the old process only finishes what it accepted, its half shrinks to the connections that it
// has open. While the other process hangs, this one is limited to what every process leaves for a successor.
func (l *limits) restrict(share processShare) {
	l.inboundBytes /= 2
	l.mysql.MaxBuffered /= 2
	if share.share != hotrestart.ShareHalf {
		l.mysql.MaxSessions = min(l.mysql.MaxSessions, reserveSessions)
		l.engines.MaxConns = min(l.engines.MaxConns, reserveConns)
		return
	}
	l.mysql.MaxSessions = max(l.mysql.MaxSessions-share.partner.Sessions, l.mysql.MaxSessions/3)
	half := max(l.engines.MaxConns/2-spareConns, minEngineConns)
	switch {
	case share.leaving:
		l.engines.MaxConns = max(min(share.engineConns, half), minEngineConns)
	case share.partner.Leaving:
		l.engines.MaxConns = max(l.engines.MaxConns-max(share.partner.EngineConns, minEngineConns)-2*spareConns, half)
	default:
		l.engines.MaxConns = half
	}
}

// limiter applies the limits of the configuration to the services, or this process's share of them while another
// process runs the same router.
type limiter struct {
	active   *activeSettings
	services *services
	parts    *partSet
	share    func() hotrestart.Share
	partner  func() usageMessage // last usage report of the other process
	leaving  func() bool
}

// compute returns this process's limits for a configuration. It fails if the configured resources do not suffice.
func (l *limiter) compute(cfg *settings.Node) (limits, error) {
	bounds, err := limitsFromConfig(cfg, l.parts.descriptors())
	if share := l.share(); err == nil && share != hotrestart.ShareFull {
		restriction := processShare{share: share, partner: l.partner(), leaving: l.leaving()}
		if l.services.engines != nil {
			restriction.engineConns = l.services.engines.ConnCount()
		}
		bounds.restrict(restriction)
	}
	return bounds, err
}

// update recomputes and applies the limits after the other process's share has changed.
func (l *limiter) update() {
	if bounds, err := l.compute(l.active.platform); err == nil {
		l.apply(bounds)
	}
}

// apply puts limits in force in the services.
func (l *limiter) apply(bounds limits) {
	l.services.net.SetMaxInbound(bounds.inboundBytes)
	l.services.front.Configure(bounds.mysql)
	l.services.engines.Configure(bounds.engines)
}

// applyToRuntime sets the Go runtime's processor count and memory limit from the configuration. While two processes run
// the same router, each has half of the memory.
func (l *limiter) applyToRuntime() {
	limits := l.active.platform.Limits
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(limits.Cores+0.5), 1))
	}
	if memory := limits.MemoryMB << 20; memory > 0 {
		if l.share() != hotrestart.ShareFull {
			memory /= 2
		}
		debug.SetMemoryLimit(int64(float64(memory) * heapShare))
	}
}
