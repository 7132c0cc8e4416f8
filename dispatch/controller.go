package dispatch

import "time"

// Controller makes the decisions of one router. It is not safe for concurrent use.
//
// It passes each event to the components that learn from it, and then starts queued requests if there is capacity.
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
	started   bool // the first event has arrived
}

// New returns a controller with the given settings, or a *ConfigError if a setting is invalid.
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

// connectFleet creates the components that hold the state of the engines.
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

// connectRequests creates the components that follow requests.
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

// Configure applies changed settings to a running controller and returns the settings in force. Queued and running
// requests and everything learned are kept. Open requests depend on their class, so these settings of a class cannot
// change: its name, semantics, idempotency scope, ordering by key, thread count, and whether it locks table groups or
// is blocked by loads. notApplied names the settings that were ignored for that reason. If an error is returned,
// nothing has changed.
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
	config.Seed, config.RouterIndex = current.Seed, current.RouterIndex // the random source was seeded with them
	c.env.config = config
	c.env.revision++
	c.classes.derive()
	c.quotas.configure()
	c.queues.setLimit(config.MaxQueued)
	c.fleet.applyKinds()
	return config, notApplied, nil
}

// Handle processes one event and appends the resulting actions. The time must not decrease between calls.
func (c *Controller) Handle(now time.Duration, event Event, actions []Action) []Action {
	c.env.now, c.env.actions = now, actions
	if !c.started {
		c.begin()
	}
	c.dispatch(event)
	c.deadlines.setTimer(c.queues.len() > 0, c.poll.next())
	return c.env.takeActions()
}

// begin starts the measurements and subscribes to discovery when the first event arrives.
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

// onEndpointList handles an update of the endpoint list.
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

// setCordoned cordons or uncordons an engine and starts queued requests if there is capacity.
func (c *Controller) setCordoned(id EngineID, cordoned bool) {
	if c.fleet.setCordoned(id, cordoned) {
		c.requests.release()
	}
}

// onTimer checks all open requests when the timer is due.
func (c *Controller) onTimer(event TimerFired) {
	if !c.deadlines.fired(event) {
		return
	}
	c.poll.subscribeIfDue()
	c.requests.sweepOpen()
	c.requests.release()
}

// Knows reports whether an endpoint list has named the engine, unless it was named too long ago to be remembered.
func (c *Controller) Knows(id EngineID) bool { return c.endpoints.cordons.knows(id) }

// Cordoned reports whether an operator has excluded an engine from new work.
func (c *Controller) Cordoned(id EngineID) bool { return c.endpoints.cordons.isCordoned(id) }

// AvoidedEngines returns the number of engines in the endpoint list that get no regular work at that time because
// they are draining, cordoned, failing or down.
func (c *Controller) AvoidedEngines(now time.Duration) int {
	c.env.advance(now)
	return c.outliers.avoided()
}
