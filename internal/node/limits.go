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
	// memoryShare is the share of the memory limit that the runtime's heap may have: stacks, the poller's buffers and
	// the kernel's view of freed pages need the remainder.
	heapShare = 0.7
	// spareConns of either process's connections to engines are left out while there are two: its listeners, log,
	// poller and link come twice too.
	spareConns = 16
	// minEngineConns is what a process has of connections to engines at least while there are two.
	minEngineConns = 16
	// reserveSessions and reserveConns fit what every process leaves for a successor (validate.Starting), less what it
	// takes to run.
	reserveSessions = 12
	reserveConns    = 12
)

// limits are what a configuration assigns to each service.
type limits struct {
	inboundBytes int // bytes read and not yet handled
	mysql        mysql.Config
	engines      enginehttp.Config
}

// limitsOf returns what the configuration assigns to each service, less the descriptors that parts hold, which the
// configuration does not name.
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

// processShare is what this process's part of the limits follows from while two processes run the same router.
type processShare struct {
	share       hotrestart.Share
	partner     usageMessage // of the other process
	leaving     bool         // this process only finishes what it accepted
	engineConns int          // that this process has open
}

// restrict takes the other process's part off the limits. Sessions are divided as they are: the old process accepts
// no more, and what it closes is opened at the new one. Connections to engines are halved, until the old one leaves. A
// process beside one that hangs keeps to what every process leaves for a successor.
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

// limiter keeps the services within the limits of the configuration, or within this process's part of them while
// another process runs the same router.
type limiter struct {
	active   *activeSettings
	services *services
	parts    *partSet
	share    func() hotrestart.Share
	partner  func() usageMessage // what the other process reported
	leaving  func() bool
}

// of returns this process's limits by a configuration.
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

// update applies the configuration in force once the other process's part has changed.
func (l *limiter) update() {
	if bounds, err := l.compute(l.active.platform); err == nil {
		l.apply(bounds)
	}
}

// apply puts limits in force.
func (l *limiter) apply(bounds limits) {
	l.services.net.SetMaxInbound(bounds.inboundBytes)
	l.services.front.Configure(bounds.mysql)
	l.services.engines.Configure(bounds.engines)
}

// applyToRuntime keeps the Go runtime within the deployment's limits; two processes of one router have half of the
// memory each.
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
