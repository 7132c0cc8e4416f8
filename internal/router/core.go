package router

import (
	"log/slog"
	"sync/atomic"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// Core connects the fronts, the engine client and the endpoint list to the dispatch module. Except where noted, its
// methods must be called in the loop's goroutine.
type Core struct {
	Hooks
	Statistics

	loop      *Loop
	module    *dispatch.Controller
	settings  atomic.Pointer[settings] // loaded from any goroutine, stored only in the loop's goroutine
	requests  *requestTable
	ids       *requestIDs
	endpoints *endpointTable
	attempts  *attemptTracker
	responder *responder

	queue      eventQueue
	actions    []dispatch.Action // buffer that decide reuses
	holding    bool              // see HoldDecisions
	shutdownAt float64           // when the process ends, in milliseconds on the loop's clock; 0 if not known
}

// dependencies are the parts of a Core that both attemptTracker and responder use.
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

// New returns a core that runs on the loop and sends attempts to the client. It sets the loop's AfterStep. It fails if
// the dispatch configuration is invalid.
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

// Configure applies a changed configuration. Open requests stay open. It returns the names of the parts that differ but
// keep their old values, because they can't change while the router runs. If it returns an error, nothing has changed.
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

// Class returns the class with that name, or false if the configuration has none. It may be called from any goroutine.
func (c *Core) Class(name string) (dispatch.Class, bool) {
	class, ok := c.settings.Load().classes[name]
	return class, ok
}

// CheckNames returns a FieldError if the class or the tenant of the request is not configured. Such a request must not
// reach an engine, which can't run it but would count it. It may be called from any goroutine.
func (c *Core) CheckNames(request *Request) error { return c.settings.Load().checkNames(request) }

// OpenRequests returns the number of requests that have not been answered or abandoned yet.
func (c *Core) OpenRequests() int { return c.requests.openCount() }

// Handle identifies a submitted request in a call of Abandon.
type Handle struct{ request *request }

// Submit opens a request, whose handler gets the final answer. If it returns an error, which is a FieldError, the
// request is not opened and the handler is not called.
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

// checkRequest checks that the class and tenant of a request exist, and that its id is not in use.
func (c *Core) checkRequest(submitted *Request) error {
	if err := c.CheckNames(submitted); err != nil {
		return err
	}
	if c.requests.isOpen(submitted.ID) || c.ids.inUse(submitted.ID) {
		return &FieldError{Field: FieldID, Err: ErrIDInUse}
	}
	return nil
}

// queueArrival queues the arrival of a request for the dispatch module.
func (c *Core) queueArrival(request *request) {
	c.requests.markQueued(request)
	c.queue.add(dispatch.Arrival{
		Request: request.key, Class: request.Class, Tenant: request.Tenant, TableGroup: request.TableGroup,
		Estimate: clock.Duration(request.EstimateMS), NeedMB: request.NeedMB,
		TimeLeft: clock.Duration(max(request.deadline-c.loop.Now(), 0)), Resent: request.Retry,
	})
}

// Abandon ends a request without an answer, because its client disconnected or canceled it. It does nothing if the
// request has been answered.
func (c *Core) Abandon(handle Handle) { c.responder.abandon(handle.request) }

// UpdateEndpoints applies an endpoint list with the addresses of its engines, and queues it for the dispatch module.
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

// KnowsEngine reports whether any endpoint list so far has contained the engine.
func (c *Core) KnowsEngine(id dispatch.EngineID) bool {
	c.decide() // the list that contains the engine may still be queued for the dispatch module
	return c.module.Knows(id)
}

// Cordon stops new work for an engine, on an operator's request, until Uncordon. Once it has returned, no attempt is
// started there. It returns false if no endpoint list has contained the engine.
func (c *Core) Cordon(id dispatch.EngineID) bool { return c.setCordon(id, dispatch.Cordon{Engine: id}) }

// Uncordon ends a cordon. It returns false if no endpoint list has contained the engine.
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

// ListedEngines returns the number of engines in the endpoint table.
func (c *Core) ListedEngines() int { return c.endpoints.count() }

// AvoidedEngines returns the number of listed engines that currently get no work, because they are cordoned or because
// the dispatch module avoids them.
func (c *Core) AvoidedEngines() int { return c.module.AvoidedEngines(clock.Duration(c.loop.Now())) }

// FillView sets the view to the dispatch module's current state of the engines and queues. It reuses the view's slice.
func (c *Core) FillView(view *dispatch.View) { c.module.FillView(clock.Duration(c.loop.Now()), view) }

// HoldDecisions with true makes the core collect events without passing them to the dispatch module, until it is called
// with false. It is used after the process stalled: events about engines that arrive while decisions are held are
// handled before the requests that arrived earlier. Otherwise the dispatch module would decide on these requests with
// an outdated state of the engines.
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
