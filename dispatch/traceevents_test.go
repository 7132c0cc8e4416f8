package dispatch

import "time"

// This file contains the events of a traceDriver that do not belong to a single request: endpoint lists, cordons,
// changed settings, hot restarts and invalid events.

// changeEngine drains, removes, restarts or adds an engine and sends the change to all controllers. Sometimes it sends
// the change to one controller twice.
func (d *traceDriver) changeEngine(to *traceController) {
	index := d.rng.IntN(len(d.engines))
	e := &d.engines[index]
	switch {
	case e.State == Live && d.rng.IntN(2) == 0:
		return
	case e.State == Live:
		e.State = Draining
	case e.State == Draining && d.rng.IntN(3) > 0:
		e.State = Removed
	case e.State == Removed && d.rng.IntN(2) == 0 && len(d.engines) < d.maxEngines:
		added := d.newEngine(EngineID(len(d.engines) + 1))
		added.StartedAt = d.now - time.Duration(d.rng.IntN(int(time.Second)))
		d.engines = append(d.engines, added)
		e = &d.engines[len(d.engines)-1]
	default:
		e.State, e.StartedAt = Live, d.now
	}
	d.handleAll(EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{*e}})
	if d.rng.IntN(10) == 0 {
		d.handle(to, EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{*e}})
	}
}

func (d *traceDriver) handleAll(event Event) {
	for _, c := range d.controllers {
		d.handle(c, event)
	}
}

// sendList sends a controller an endpoint list of a random mode.
func (d *traceDriver) sendList(to *traceController) {
	switch mode := ListMode(d.rng.IntN(int(ListFailed) + 1)); mode {
	case ListFailed:
		d.handle(to, EndpointList{Mode: mode})
	case ListCached:
		list := d.listed()
		d.handle(to, EndpointList{Mode: mode, Endpoints: list[:len(list)-len(list)/3]})
		d.handle(to, EndpointList{Mode: ListComplete, Endpoints: list})
	case ListComplete, ListIncremental:
		d.handle(to, EndpointList{Mode: mode, Endpoints: d.listed()})
	}
}

// toggleCordon cordons or uncordons a random engine on all controllers. An engine that the given controller has
// cordoned is uncordoned.
func (d *traceDriver) toggleCordon(c *traceController) {
	id := d.anyEngine()
	if c.controller.Cordoned(id) || d.rng.IntN(3) == 0 {
		d.handleAll(Uncordon{Engine: id})
		return
	}
	d.handleAll(Cordon{Engine: id})
}

// hotRestart performs a random step of a hot restart: it starts a successor, exchanges the usage of the two
// controllers, announces the shutdown of the predecessor or removes the predecessor.
func (d *traceDriver) hotRestart(predecessor *traceController) {
	switch {
	case len(d.controllers) == 1 && d.rng.IntN(3) == 0:
		successor := d.start()
		snapshot := predecessor.controller.Snapshot()
		traceSnapshotOf(d.hash, snapshot)
		d.handle(successor, RestoreSnapshot{Snapshot: snapshot})
		d.exchangeUsage()
	case len(d.controllers) == 1:
	case d.rng.IntN(3) == 0:
		d.handle(d.controllers[0], ShutdownDeadline{At: d.now + time.Duration(d.rng.IntN(int(time.Second)))})
	case d.rng.IntN(4) == 0:
		d.handle(d.controllers[1], OtherProcessUsage{})
		d.controllers = d.controllers[1:]
		d.controllers[0].index = 0
	default:
		d.exchangeUsage()
	}
}

// hotRestarts replaces the controller by a successor the given number of times, with the given number of events before
// and after each replacement.
func (d *traceDriver) hotRestarts(rounds, steps int) {
	for range rounds {
		d.run(steps)
		predecessor, successor := d.controllers[len(d.controllers)-1], d.start()
		d.controllers = []*traceController{predecessor, successor}
		successor.index = 1 - predecessor.index
		d.handle(successor, RestoreSnapshot{Snapshot: predecessor.controller.Snapshot()})
		for range steps / 10 {
			d.run(10)
			if len(d.controllers) == 2 {
				d.exchangeUsage()
			}
		}
		d.handle(predecessor, ShutdownDeadline{At: d.now + 100*ms})
	}
}

// exchangeUsage sends each of the two controllers the usage of the other one.
func (d *traceDriver) exchangeUsage() {
	usages := []OtherProcessUsage{
		d.controllers[0].controller.Usage(d.now),
		d.controllers[1].controller.Usage(d.now),
	}
	for i, c := range d.controllers {
		traceUsageOf(d.hash, usages[1-i])
		d.handle(c, usages[1-i])
	}
}

// configure changes settings of a running controller and traces the result. The controller rejects some of these
// changes and ignores others.
func (d *traceDriver) configure(c *traceController) {
	inForce, kept, err := c.controller.Configure(d.changedConfig())
	d.hash.Step(traceConfigure)
	d.hash.Int(int64(len(kept)))
	d.hash.Bool(err != nil)
	d.hash.Int(int64(inForce.Routers))
	d.hash.Int(int64(inForce.MaxAttempts))
	d.hash.Int(int64(inForce.MaxQueued))
	d.hash.Int(int64(len(inForce.Tenants)))
	d.hash.Uint(inForce.Seed)
	for _, k := range inForce.Classes {
		d.hash.Duration(k.LatencyObjective)
		d.hash.Int(int64(k.Threads))
	}
}

// changedConfig returns a configuration with random changes, some of them invalid.
func (d *traceDriver) changedConfig() Config {
	config := d.config
	config.Classes = append([]Class(nil), d.config.Classes...)
	config.Classes[d.rng.IntN(len(config.Classes))].LatencyObjective += time.Duration(d.rng.IntN(int(100 * ms)))
	switch d.rng.IntN(8) {
	case 0:
		config.Routers = 1 + d.rng.IntN(40)
	case 1:
		config.MaxAttempts = d.rng.IntN(5)
	case 2:
		config.MaxQueued = d.rng.IntN(30)
	case 3:
		config.Classes[0].Threads += 3
		config.Seed++
	case 4:
		config.WarmUp.Duration = -1
	case 5:
		config.Tenants = append([]Tenant{{Name: "b", Quota: 5}}, config.Tenants[:len(config.Tenants)/2]...)
	case 6:
		config.Classes[1].Name = "another"
	case 7:
		config.PolledDiscovery = !config.PolledDiscovery
	}
	return config
}

// sendInvalid sends an event that refers to an unknown request, attempt, engine or class, or a timer event that was not
// requested.
func (d *traceDriver) sendInvalid(c *traceController) {
	switch d.rng.IntN(8) {
	case 0:
		d.handle(c, AttemptProgress{Request: "nobody's", Attempt: 1, Kind: ProgressFraction, Amount: 0.5})
	case 1:
		d.handle(c, AttemptEnd{Request: "nobody's", Outcome: Served, Last: true})
	case 2:
		d.handle(c, ClientGone{Request: "nobody's"})
	case 3:
		d.handle(c, TimerFired{Tag: int64(d.rng.IntN(3))})
	case 4:
		d.handle(c, Cordon{Engine: 9999})
	case 5:
		d.handle(c, EngineLoad{Engine: 9999})
	case 6:
		d.handle(c, Arrival{Request: "odd", Class: "no such class", TimeLeft: time.Second})
	case 7:
		if req, index := d.outstanding(c); req != nil {
			d.handle(c, AttemptEnd{Request: req.id, Attempt: req.outstanding[index] + 7, Outcome: ConnectionReset})
		}
	}
}
