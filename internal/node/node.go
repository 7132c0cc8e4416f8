package node

import (
	"fmt"
	"log/slog"
	"net"
	"os"

	"windflow/internal/clock"
	"windflow/internal/discovery"
	"windflow/internal/enginehttp"
	"windflow/internal/installation"
	"windflow/internal/mysql"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

// node holds and connects the types that make up a running router. It belongs to the event loop's goroutine.
type node struct {
	log          *slog.Logger
	loop         *router.Loop
	life         *lifecycle
	active       activeSettings
	services     services
	parts        partSet
	recordedLog  recordedLog
	limiter      limiter
	configurator configurator
	keepers      *keeperSync // nil if the router follows no keepers
	links        *peerLinks
	restart      *coordinator
	listeners    listeners
	cordons      *cordonStore
	claims       *idClaims
	usage        usageExchange
	shutdown     shutdownSequence
	stalls       stallDetector
	admin        adminBackend
	status       statusReporter
}

// newNode returns a router whose services are not built yet.
func newNode(cfg *settings.Node, site *installation.Settings, log *slog.Logger) *node {
	n := &node{
		loop: router.NewLoop(clock.NewSystem()), life: newLifecycle(),
		active: activeSettings{platform: cfg, site: site}, services: services{byKind: &router.ClientByKind{}},
	}
	n.log = log
	if site.Records != nil {
		n.log = n.recordedLog.tee(log, n.loop.Now)
	}
	n.wireHotRestart()
	n.wireServing()
	n.restart.handle(map[string]messageHandler{
		msgIDChange:     decoded(func(_ *peer, change router.IDChange) { n.services.core.OtherProcessChanged(change) }),
		msgKill:         decoded(func(_ *peer, kill killMessage) { n.services.front.Kill(kill.SessionID, kill.QueryOnly) }),
		msgUsage:        decoded(func(_ *peer, usage usageMessage) { n.usage.update(usage); n.limiter.update() }),
		msgClaimID:      decoded(n.claims.handleClaim),
		msgClaimIDReply: decoded(n.claims.handleReply),
		msgCordon:       decoded(n.cordons.handleRequest),
		msgCordonReply:  decoded(n.cordons.handleReply),
	})
	return n
}

// wireHotRestart sets up what two processes of this router use to work together, and the shutdown.
func (n *node) wireHotRestart() {
	n.links = newPeerLinks(n.log, n.loop)
	n.restart = newCoordinator(n.log, n.loop, n.life, n.links, n)
	n.cordons = newCordonStore(n.log, n.loop, &n.services, n.restart.partner)
	n.claims = newIDClaims(n.loop, &n.services, n.restart.idGrantor)
	n.usage = usageExchange{
		loop: n.loop, services: &n.services, partner: n.restart.partner, leaving: n.leaving,
	}
	n.listeners = listeners{
		log: n.log, loop: n.loop, life: n.life, machine: &n.restart.machine, received: &n.restart.received,
		acceptors: n.acceptors, idle: map[string]net.Listener{},
		listedEngines: func() int { return n.services.core.ListedEngines() },
	}
	n.shutdown = shutdownSequence{
		log: n.log, loop: n.loop, active: &n.active, services: &n.services, parts: &n.parts, restart: n.restart,
		listeners: &n.listeners, earliestEventTime: n.stalls.earliestEventTime,
		shrinkLimits: func() { n.limiter.update(); n.usage.report() },
	}
}

// wireServing sets up limits, reloads, stall detection, the admin API and the status report.
func (n *node) wireServing() {
	n.limiter = limiter{
		active: &n.active, services: &n.services, parts: &n.parts, share: n.restart.share,
		partner: n.usage.reported, leaving: n.leaving,
	}
	n.configurator = configurator{
		log: n.log, active: &n.active, services: &n.services, parts: &n.parts, limiter: &n.limiter,
	}
	n.stalls.log, n.stalls.loop, n.stalls.services, n.stalls.refresh = n.log, n.loop, &n.services, n.cordons.refresh
	n.admin = adminBackend{
		log: n.log, loop: n.loop, services: &n.services, machine: &n.restart.machine, listeners: &n.listeners,
		leaving: n.leaving, cordons: n.cordons, keepers: func() *keeperSync { return n.keepers },
	}
	n.status = statusReporter{
		log: n.log, services: &n.services, parts: &n.parts, stalls: &n.stalls.counters, admin: &n.admin,
	}
}

// newReloader returns a reloader of the platform's configuration (path) and the installation's settings (settingsPath).
func (n *node) newReloader(path, settingsPath string) *reloader {
	return &reloader{
		log: n.log, loop: n.loop, path: path, settingsPath: settingsPath, configurator: &n.configurator,
	}
}

// begin starts the stall detector, the cordon store and the coordinator. If hotRestart is set, it also tries to acquire
// a process slot. With a slot, the process accepts links from successors; without one, it serves without hot restart.
// The caller runs the event loop.
func (n *node) begin(hotRestart bool) {
	n.stalls.heartbeat()
	go n.stalls.watch(n.life.done)
	if hotRestart {
		n.links.acquireSlot(n.active.platform)
	}
	if n.cordons.slot = n.links.slot; n.cordons.slot != nil {
		n.cordons.read()
		go n.links.awaitSuccessors()
	}
	go n.cordons.run(n.life.done)
	n.restart.start()
}

// build creates the services and starts the parts. The router accepts no clients yet, but serves the admin API. It
// fails if the settings are invalid or a listener can't be opened.
func (n *node) build() error {
	cfg := n.active.platform
	known, lastEvent, err := settings.ParseEndpoints(cfg.KnownEndpoints)
	if err != nil {
		return fmt.Errorf("field known: %w", err)
	}
	n.makeParts()
	bounds, err := n.buildServices(cfg)
	if err != nil {
		return err
	}
	for _, p := range n.parts.all {
		if p.start == nil {
			continue
		}
		if err := p.start(bounds); err != nil {
			return fmt.Errorf("/%s: %w", p.name, err)
		}
	}
	if err := n.listeners.open(); err != nil {
		return err
	}
	// The poller runs already and may have posted connections. The loop handles them after build has returned.
	core := n.services.core
	core.UpdateEndpoints(known.List, known.Addresses)
	core.AdoptCordons(n.cordons.list())
	n.services.endpoints = discovery.Watch(n.loop, n.services.net, cfg.DiscoveryAddress, endpointNames(cfg), lastEvent,
		func(update discovery.Update) { core.UpdateEndpoints(update.List, update.Addresses) }, cfg.SeedValue, n.log)
	n.limiter.applyToRuntime()
	return nil
}

func (n *node) makeParts() {
	for _, construct := range partConstructors {
		if p := construct(n); p != nil {
			n.parts.all = append(n.parts.all, p)
			n.restart.handle(p.handlers)
		}
	}
}

// buildServices creates the core, the MySQL front, the poller and the HTTP client of engines, and returns the limits
// that they were created with.
func (n *node) buildServices(cfg *settings.Node) (limits, error) {
	decisions, err := validate.DispatchConfig(cfg, cfg.SeedValue)
	if err != nil {
		return limits{}, fmt.Errorf("field settings: %w", err)
	}
	bounds, err := n.limiter.compute(cfg)
	if err != nil {
		return limits{}, err
	}
	core, err := router.New(n.loop, decisions, n.services.byKind, n.log)
	if err != nil {
		return limits{}, fmt.Errorf("field settings: %w", err)
	}
	core.ClaimID = n.claims.claim
	core.OnIDChange = func(change router.IDChange) { n.restart.partner.send(msgIDChange, change) }
	front := mysql.NewFront(core, n.loop, bounds.mysql, n.status.rows, n.log)
	front.SetGeneration(n.restart.generation)
	front.RemoteKill = n.killRemote
	n.services.front = front
	if n.services.net, err = netio.New(n.loop, "", nil, n.log); err != nil {
		return limits{}, err
	}
	n.services.net.SetMaxInbound(bounds.inboundBytes)
	n.services.engines = enginehttp.NewClient(n.loop, n.services.net, bounds.engines, n.log)
	n.services.byKind.Default = n.services.engines
	n.services.core = core
	return bounds, nil
}

// killRemote forwards a client's KILL to the other process. It returns false if there is none.
func (n *node) killRemote(sessionID uint32, queryOnly bool) bool {
	partner := n.restart.partner
	partner.send(msgKill, killMessage{SessionID: sessionID, QueryOnly: queryOnly})
	return partner.connected()
}

// acceptors returns the acceptors of all addresses at which this router accepts.
func (n *node) acceptors() []acceptor {
	all := []acceptor{{
		name: clientListener, field: "listen", address: n.active.platform.Listen,
		accept: func(lis net.Listener) { n.listeners.clients = n.services.net.Serve(lis, n.services.front.NewSession) },
		file:   func() (*os.File, error) { return n.listeners.clients.File() },
		pause:  n.listeners.closeClients,
	}}
	all = append(all, n.parts.acceptors()...)
	if address := n.active.platform.AdminAddress; address != "" {
		all = append(all, n.admin.acceptor(address))
	}
	return all
}

// close stops the parts and releases links, listeners and the poller. It is called after the event loop has ended.
func (n *node) close() {
	n.links.close()
	n.listeners.close()
	n.parts.stop()
	if n.services.net != nil {
		n.services.net.Stop()
	}
}
