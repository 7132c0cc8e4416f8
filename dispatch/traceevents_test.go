package dispatch

import (
	"time"
)

// This file has the events of a traceWorld that are not of one request: lists, bans, settings, a second controller.

// changeEngine has an engine drain, go, or start, and tells one controller or all.
func (w *traceDriver) changeEngine(s *traceController) {
	at := w.rng.IntN(len(w.engines))
	e := &w.engines[at]
	switch {
	case e.State == Live && w.rng.IntN(2) == 0:
		return
	case e.State == Live:
		e.State = Draining
	case e.State == Draining && w.rng.IntN(3) > 0:
		e.State = Removed
	case e.State == Removed && w.rng.IntN(2) == 0 && len(w.engines) < w.maxEngines:
		fresh := w.newEngine(EngineID(len(w.engines) + 1))
		fresh.StartedAt = w.now - time.Duration(w.rng.IntN(int(time.Second)))
		w.engines = append(w.engines, fresh)
		e = &w.engines[len(w.engines)-1]
	default:
		e.State, e.StartedAt = Live, w.now
	}
	w.handleAll(EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{*e}})
	if w.rng.IntN(10) == 0 {
		w.handle(s, EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{*e}})
	}
}

func (w *traceDriver) handleAll(ev Event) {
	for _, s := range w.controllers {
		w.handle(s, ev)
	}
}

// sendList gives a list of any mode.
func (w *traceDriver) sendList(s *traceController) {
	switch mode := ListMode(w.rng.IntN(int(ListFailed) + 1)); mode {
	case ListFailed:
		w.handle(s, EndpointList{Mode: mode})
	case ListCached:
		list := w.listed()
		w.handle(s, EndpointList{Mode: mode, Endpoints: list[:len(list)-len(list)/3]})
		w.handle(s, EndpointList{Mode: ListComplete, Endpoints: list})
	default:
		w.handle(s, EndpointList{Mode: mode, Endpoints: w.listed()})
	}
}

func (w *traceDriver) toggleCordon(s *traceController) {
	id := w.anyEngine()
	if s.controller.Cordoned(id) || w.rng.IntN(3) == 0 {
		w.handleAll(Uncordon{Engine: id})
		return
	}
	w.handleAll(Cordon{Engine: id})
}

// hotRestart starts a second controller, has the two tell each other what they have running, and in the end closes the first.
func (w *traceDriver) hotRestart(s *traceController) {
	switch {
	case len(w.controllers) == 1 && w.rng.IntN(3) == 0:
		fresh := w.start()
		snapshot := s.controller.Snapshot()
		traceSnapshotOf(w.hash, snapshot)
		w.handle(fresh, RestoreSnapshot{Snapshot: snapshot})
		w.exchangeUsage()
	case len(w.controllers) == 1:
	case w.rng.IntN(3) == 0:
		w.handle(w.controllers[0], ShutdownDeadline{At: w.now + time.Duration(w.rng.IntN(int(time.Second)))})
	case w.rng.IntN(4) == 0:
		w.handle(w.controllers[1], OtherProcessUsage{})
		w.controllers = w.controllers[1:]
		w.controllers[0].index = 0
	default:
		w.exchangeUsage()
	}
}

// hotRestarts has one controller take over from another again and again, with much told between them.
func (w *traceDriver) hotRestarts(rounds, steps int) {
	for range rounds {
		w.run(steps)
		old, fresh := w.controllers[len(w.controllers)-1], w.start()
		w.controllers = []*traceController{old, fresh}
		fresh.index = 1 - old.index
		w.handle(fresh, RestoreSnapshot{Snapshot: old.controller.Snapshot()})
		for range steps / 10 {
			w.run(10)
			if len(w.controllers) == 2 {
				w.exchangeUsage()
			}
		}
		w.handle(old, ShutdownDeadline{At: w.now + 100*ms})
	}
}

// exchangeUsage has each controller count what the other one has running.
func (w *traceDriver) exchangeUsage() {
	uses := []OtherProcessUsage{w.controllers[0].controller.Usage(w.now), w.controllers[1].controller.Usage(w.now)}
	for i, s := range w.controllers {
		traceUsageOf(w.hash, uses[1-i])
		w.handle(s, uses[1-i])
	}
}

// configure changes settings of a running controller, some to what is refused or kept as it was.
func (w *traceDriver) configure(s *traceController) {
	config := w.config
	config.Classes = append([]Class(nil), w.config.Classes...)
	config.Classes[w.rng.IntN(len(config.Classes))].LatencyObjective += time.Duration(w.rng.IntN(int(100 * ms)))
	switch w.rng.IntN(8) {
	case 0:
		config.Routers = 1 + w.rng.IntN(40)
	case 1:
		config.MaxAttempts = w.rng.IntN(5)
	case 2:
		config.MaxQueued = w.rng.IntN(30)
	case 3:
		config.Classes[0].Threads += 3
		config.Seed++
	case 4:
		config.WarmUpDuration = -1
	case 5:
		config.Tenants = append([]Tenant{{Name: "b", Quota: 5}}, config.Tenants[:len(config.Tenants)/2]...)
	case 6:
		config.Classes[1].Name = "another"
	case 7:
		config.PolledDiscovery = !config.PolledDiscovery
	}
	now, kept, err := s.controller.Configure(config)
	w.hash.Step(traceConfigure)
	w.hash.Int(int64(len(kept)))
	w.hash.Bool(err != nil)
	w.hash.Int(int64(now.Routers))
	w.hash.Int(int64(now.MaxAttempts))
	w.hash.Int(int64(now.MaxQueued))
	w.hash.Int(int64(len(now.Tenants)))
	w.hash.Uint(now.Seed)
	for _, k := range now.Classes {
		w.hash.Duration(k.LatencyObjective)
		w.hash.Int(int64(k.Threads))
	}
}

// sendInvalid sends what makes no sense: the controller must leave it aside.
func (w *traceDriver) sendInvalid(s *traceController) {
	switch w.rng.IntN(8) {
	case 0:
		w.handle(s, AttemptProgress{Request: "nobody's", Attempt: 1, Kind: ProgressFraction, Amount: 0.5})
	case 1:
		w.handle(s, AttemptEnd{Request: "nobody's", Outcome: Served, Last: true})
	case 2:
		w.handle(s, ClientGone{Request: "nobody's"})
	case 3:
		w.handle(s, TimerFired{Tag: int64(w.rng.IntN(3))})
	case 4:
		w.handle(s, Cordon{Engine: 9999})
	case 5:
		w.handle(s, EngineLoad{Engine: 9999})
	case 6:
		w.handle(s, Arrival{Request: "odd", Class: "no such class", TimeLeft: time.Second})
	case 7:
		if r, at := w.outstanding(s); r != nil {
			w.handle(s, AttemptEnd{Request: r.id, Attempt: r.outstanding[at] + 7, Outcome: ConnectionReset})
		}
	}
}
