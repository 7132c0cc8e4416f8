package router

import (
	"log/slog"
	"sync/atomic"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// Core coordinates the router's parts around the dispatch module. Except where noted, its methods are called in the
// loop's goroutine.
type Core struct {
	Hooks
	Statistics

	loop      *Loop
	module    *dispatch.Controller
	settings  atomic.Pointer[settings] // loaded from any goroutine, stored in the loop
	requests  *requestTable
	ids       *requestIDs
	endpoints *endpointTable
	attempts  *attemptTracker
	responder *responder

	queue      eventQueue
	actions    []dispatch.Action // reused by each round of decide
	holding    bool              // see HoldDecisions
	shutdownAt float64           // when the process ends; 0 while that is not known
}

// dependencies are the parts of a core that attemptTracker and responder both use.
type dependencies struct {
	loop       *Loop
	log        *slog.Logger
	settings   *atomic.Pointer[settings]
	hooks      *Hooks
	statistics *Statistics
	queue      *eventQueue
	requests   *requestTable
	ids        *requestIDs
	endpoints  *endpointTable
}

// New returns a core for a dispatch configuration. It sets the loop's AfterStep.
func New(loop *Loop, cfg dispatch.Config, client EngineClient, log *slog.Logger) (*Core, error) {
	module, err := dispatch.New(cfg)
	if err != nil {
		return nil, err
	}
	core := &Core{
		Statistics: Statistics{ByClass: map[string]*ClassCounters{}},
		loop:       loop,
		module:     module,
		requests:   newRequestTable(),
		endpoints:  newEndpointTable(client),
	}
	core.ids = newRequestIDs(&core.Hooks)
	parts := dependencies{
		loop: loop, log: log,
		settings: &core.settings, hooks: &core.Hooks, statistics: &core.Statistics,
		queue: &core.queue, requests: core.requests, ids: core.ids, endpoints: core.endpoints,
	}
	core.attempts = &attemptTracker{dependencies: parts, client: client}
	core.responder = &responder{dependencies: parts, attempts: core.attempts}
	core.attempts.onServed = core.responder.serve
	core.applySettings(cfg)
	loop.AfterStep = core.decide
	return core, nil
}

// Configure puts a changed configuration in force; open requests are not touched. It returns the names of the parts
// that can't change while the router runs and stayed as they were. After an error nothing has changed.
func (c *Core) Configure(cfg dispatch.Config) (unchanged []string, err error) {
	applied, unchanged, err := c.module.Configure(cfg)
	if err == nil {
		c.applySettings(applied)
	}
	return unchanged, err
}

func (c *Core) applySettings(cfg dispatch.Config) {
	for _, class := range cfg.Classes {
		c.addClass(class.Name)
	}
	c.settings.Store(newSettings(cfg))
}

// Class returns a class of the configuration. It may be called from any goroutine.
func (c *Core) Class(name string) (dispatch.Class, bool) {
	class, ok := c.settings.Load().classes[name]
	return class, ok
}

// CheckNames returns a FieldError if the configuration does not know the class or the tenant that a request names. Such
// a request must not reach an engine, which can't use it but would count it. It may be called from any goroutine.
func (c *Core) CheckNames(request *Request) error { return c.settings.Load().checkNames(request) }

// OpenRequests is the number of requests that are to be answered.
func (c *Core) OpenRequests() int { return c.requests.openCount() }

// Handle names a submitted request for Abandon.
type Handle struct{ request *request }

// Submit submits a request. After an error, which is a FieldError, the handler is not called.
func (c *Core) Submit(submitted *Request, handler ResponseHandler) (Handle, error) {
	if err := c.checkRequest(submitted); err != nil {
		c.Counters.Malformed++
		return Handle{}, err
	}
	class, _ := c.Class(submitted.Class)
	c.Counters.Received++
	if c.Observer != nil {
		c.Observer.RequestArrived(submitted)
	}
	deadline := submitted.SentAtMS + submitted.BudgetMS - answerMarginMS
	if c.shutdownAt > 0 {
		deadline = min(deadline, c.shutdownAt)
	}
	request := c.requests.add(submitted, handler, deadline)
	c.ids.publish(request.ID, IDOpen)
	c.Counters.MaxOpen = max(c.Counters.MaxOpen, int64(c.OpenRequests()))
	if deadline <= c.loop.Now() {
		c.Counters.Expired++
	}
	c.responder.armGuard(request)
	if class.Semantics == dispatch.AtMostOnce {
		c.claim(request)
	} else {
		c.queueArrival(request)
	}
	return Handle{request}, nil
}

// checkRequest checks what a request names, and that its id is not in use.
func (c *Core) checkRequest(submitted *Request) error {
	if err := c.CheckNames(submitted); err != nil {
		return err
	}
	if c.requests.isOpen(submitted.ID) || c.ids.inUse(submitted.ID) {
		return &FieldError{Field: FieldID, Err: ErrIDInUse}
	}
	return nil
}

// queueArrival queues the arrival of a request for the module.
func (c *Core) queueArrival(request *request) {
	c.requests.markArriving(request)
	c.queue.add(dispatch.Arrival{
		Request: request.key, Class: request.Class, Tenant: request.Tenant, TableGroup: request.TableGroup,
		Estimate: clock.Duration(request.EstimateMS), NeedMB: request.NeedMB,
		TimeLeft: clock.Duration(max(request.deadline-c.loop.Now(), 0)), Resent: request.Retry,
	})
}

// Abandon says that the client is gone: its request gets no answer. It does nothing once the request is answered.
func (c *Core) Abandon(handle Handle) { c.responder.abandon(handle.request) }

// UpdateEndpoints applies an endpoint list with the addresses of its engines, and queues it for the module.
func (c *Core) UpdateEndpoints(list dispatch.EndpointList, addresses map[dispatch.EngineID]string) {
	c.Counters.EndpointUpdates++
	if c.Observer != nil {
		c.Observer.EndpointsChanged()
	}
	if list.Mode == dispatch.ListComplete {
		c.endpoints.removeUnlisted(list.Endpoints)
	}
	c.queue.addEngineEvent(list)
	for _, endpoint := range list.Endpoints {
		c.endpoints.update(endpoint, addresses[endpoint.ID])
	}
}

// KnowsEngine reports whether a list has named an engine.
func (c *Core) KnowsEngine(id dispatch.EngineID) bool {
	c.decide() // the module may not have handled the list that names the engine
	return c.module.Knows(id)
}

// Cordon keeps new work from an engine, on an operator's request, until Uncordon; once it returns, nothing more is
// started there. It returns false if no list has named the engine.
func (c *Core) Cordon(id dispatch.EngineID) bool { return c.setCordon(id, dispatch.Cordon{Engine: id}) }

// Uncordon ends a cordon. It returns false if no list has named the engine.
func (c *Core) Uncordon(id dispatch.EngineID) bool {
	return c.setCordon(id, dispatch.Uncordon{Engine: id})
}

func (c *Core) setCordon(id dispatch.EngineID, event dispatch.Event) bool {
	if !c.KnowsEngine(id) {
		return false
	}
	c.queue.addEngineEvent(event)
	c.decide()
	if c.module.Cordoned(id) {
		c.endpoints.cancelUnstarted(id)
	}
	return true
}

// ListedEngines is the number of engines in the list.
func (c *Core) ListedEngines() int { return c.endpoints.count() }

// AvoidedEngines is the number of listed engines that get no work now, because of a cordon or by the module's choice.
func (c *Core) AvoidedEngines() int { return c.module.AvoidedEngines(clock.Duration(c.loop.Now())) }

// FillView fills a view of the fleet as the module sees it.
func (c *Core) FillView(view *dispatch.View) { c.module.FillView(clock.Duration(c.loop.Now()), view) }

// HoldDecisions makes the core collect events and pass none to the module, until it is called with false. It is for a
// process that stalled, and guards against requests that waited meanwhile being sent by an outdated view of the
// fleet: the events about engines that have come until then go ahead of them.
func (c *Core) HoldDecisions(hold bool) {
	c.holding = hold
	if hold {
		return
	}
	c.decide()
	for id := range c.endpoints.engines {
		if c.module.Cordoned(id) {
			c.endpoints.cancelUnstarted(id)
		}
	}
}
