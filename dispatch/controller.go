package dispatch

import "time"

// Controller decides for one router. It is not safe for concurrent use.
//
// It coordinates the parts of the decision: it passes each event to the parts that learn from it, and then has queued
// requests released.
type Controller struct {
	env       *environment
	endpoints *endpointTable
	classes   *classSet
	quotas    *tenantQuotas
	queues    *classQueues
	outliers  *outlierDetector
	warmUps   *warmUpLimiter
	capacity  *capacityLimiter
	selector  *selector
	fleet     *fleetState
	requests  *requestTracker
	deadlines *deadlines
	poll      *discoveryPoll
	started   bool // the first event has come
}

// New checks the settings and returns a controller. Its error is a *ConfigError.
func New(config Config) (*Controller, error) {
	if err := validate(config); err != nil {
		return nil, err
	}
	env := newEnvironment(config)
	controller := &Controller{
		env:       env,
		endpoints: newEndpointTable(env),
		classes:   newClassSet(config.Classes),
		quotas:    newTenantQuotas(env),
		deadlines: &deadlines{env: env},
		poll:      &discoveryPoll{env: env},
	}
	controller.queues = newClassQueues(controller.classes)
	controller.queues.setLimit(config.MaxQueued)
	controller.connectFleet()
	controller.connectRequests()
	return controller, nil
}

// connectFleet creates the parts that know the engines.
func (c *Controller) connectFleet() {
	c.outliers = &outlierDetector{env: c.env, endpoints: c.endpoints}
	c.warmUps = &warmUpLimiter{env: c.env, classes: c.classes}
	c.capacity = &capacityLimiter{
		env: c.env, endpoints: c.endpoints, classes: c.classes,
		outliers: c.outliers, warmUps: c.warmUps,
	}
	c.warmUps.capacity = c.capacity
	c.selector = &selector{
		subsetChooser: newSubsetChooser(c.env, c.endpoints, c.classes, c.capacity),
		outliers:      c.outliers,
		warmUps:       c.warmUps,
	}
	c.fleet = &fleetState{
		env: c.env, endpoints: c.endpoints, outliers: c.outliers,
		warmUps: c.warmUps, capacity: c.capacity, subsets: &c.selector.subsetChooser,
	}
}

// connectRequests creates the parts that follow requests.
func (c *Controller) connectRequests() {
	ordering := newKeyOrder(c.env)
	retries := &retryRules{env: c.env, warmUps: c.warmUps}
	c.selector.retries, c.selector.ordering = retries, ordering
	c.requests = &requestTracker{
		env: c.env, classes: c.classes, quotas: c.quotas, queues: c.queues, ordering: ordering,
		outliers: c.outliers, warmUps: c.warmUps, capacity: c.capacity, retries: retries,
		selector: c.selector, deadlines: c.deadlines,
		learner: &outcomeLearner{env: c.env, fleet: c.fleet},
		byID:    map[RequestID]*request{},
	}
}

// Configure applies changed settings to a running controller and returns those in force. What is queued, running and
// learned stays. The names, semantics and shape of the classes stay too, since open requests belong to them; settings
// that were not taken for that reason are named in kept. After an error nothing has changed.
func (c *Controller) Configure(config Config) (inForce Config, notApplied []string, err error) {
	if err := validate(config); err != nil {
		return c.env.config, nil, err
	}
	current := c.env.config
	config.Classes, notApplied = c.classes.configure(config.Classes, current.Classes)
	if config.PolledDiscovery != current.PolledDiscovery {
		notApplied = append(notApplied, "discovery")
		config.PolledDiscovery = current.PolledDiscovery
	}
	config.Seed, config.RouterIndex = current.Seed, current.RouterIndex // the randomness was seeded with them
	c.env.config = config
	c.env.revision++
	c.classes.derive()
	c.quotas.configure()
	c.queues.setLimit(config.MaxQueued)
	c.fleet.applyKinds()
	return config, notApplied, nil
}

// Handle takes one event and appends the actions that follow from it. Time never goes back.
func (c *Controller) Handle(now time.Duration, event Event, actions []Action) []Action {
	c.env.now, c.env.actions = now, actions
	if !c.started {
		c.begin()
	}
	c.dispatch(event)
	c.deadlines.setTimer(c.queues.len() > 0, c.poll.next())
	return c.env.takeActions()
}

// begin starts the measurements and subscribes to discovery, when the first event arrives.
func (c *Controller) begin() {
	c.started = true
	c.quotas.start()
	c.warmUps.start()
	c.deadlines.reset()
	c.poll.subscribe()
}

func (c *Controller) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointList:
		c.onEndpointList(event)
	case Arrival:
		c.requests.onArrival(event)
	case AttemptProgress:
		c.requests.onProgress(event)
	case AttemptEnd:
		c.requests.onAttemptEnd(event)
	case EngineLoad:
		if e := c.endpoints.engine(event.Engine); e != nil {
			c.endpoints.recordReport(e, event.Report)
		}
	case ResponseStarted:
		c.requests.onResponseStarted(event)
	case Cordon:
		c.setCordoned(event.Engine, true)
	case Uncordon:
		c.setCordoned(event.Engine, false)
	case RestoreSnapshot:
		c.restore(event.Snapshot)
	case ShutdownDeadline:
		c.requests.setShutdownDeadline(event.At)
	case OtherProcessUsage:
		c.setOtherProcessUsage(event)
	case ClientGone:
		c.requests.onClientGone(event.Request)
	case TimerFired:
		c.onTimer(event)
	}
}

// onEndpointList takes an update of the endpoint list.
func (c *Controller) onEndpointList(event EndpointList) {
	if event.Mode == ListFailed {
		c.poll.failed()
		return
	}
	if event.Mode != ListCached {
		c.poll.answered()
	}
	c.fleet.update(event)
	c.requests.release()
}

// setCordoned cordons or uncordons an engine.
func (c *Controller) setCordoned(id EngineID, cordoned bool) {
	if c.fleet.setCordoned(id, cordoned) {
		c.requests.release()
	}
}

// onTimer looks at all open requests when the timer is due.
func (c *Controller) onTimer(event TimerFired) {
	if !c.deadlines.fired(event) {
		return
	}
	c.poll.subscribeIfDue()
	c.requests.sweepOpen()
	c.requests.release()
}

// Knows reports whether an endpoint list has named an engine.
func (c *Controller) Knows(id EngineID) bool { return c.endpoints.cordons.knows(id) }

// Cordoned reports whether an engine gets no work by an operator's order.
func (c *Controller) Cordoned(id EngineID) bool { return c.endpoints.cordons.isCordoned(id) }

// AvoidedEngines counts the engines in the endpoint list that get no ordinary work at that time: they drain, are
// cordoned, fail or are down.
func (c *Controller) AvoidedEngines(now time.Duration) int {
	c.env.advance(now)
	return c.outliers.avoided()
}
