package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"windflow/internal/tracetest"
)

// traceDriver drives a controller with random events of all kinds, from a fixed seed, and writes all that it does into a
// trace. After a takeover it drives two, which tell each other what they have running.
type traceDriver struct {
	t           *testing.T
	hash        *tracetest.Hash
	rng         *rand.Rand
	config      Config
	now         time.Duration
	controllers []*traceController
	engines     []Endpoint
	maxEngines  int    // engines over all time
	lostZone    string // zone whose engines do not answer
	lastID      int    // number of the latest request
}

// traceController is one controller and what it has open.
type traceController struct {
	index      int
	controller *Controller
	requests   []*traceRequest
	timerAt    time.Duration // 0 for no timer
	timerTag   int64
}

type traceRequest struct {
	id          RequestID
	attempts    []EngineID
	outstanding []int // attempts without an outcome
	answered    bool
}

// traceEngines is how many engines there are at first, unless a setting says otherwise.
const traceEngines = 9

func newTraceDriver(t *testing.T, h *tracetest.Hash, config Config, seed uint64, engines int) *traceDriver {
	w := &traceDriver{t: t, hash: h, rng: rand.New(rand.NewPCG(seed, 2026)), config: config, now: time.Hour, maxEngines: 3 * engines}
	for i := range engines {
		w.engines = append(w.engines, w.newEngine(EngineID(i+1)))
	}
	w.start()
	return w
}

// newEngine gives an engine, some of them large, some of another kind.
func (w *traceDriver) newEngine(id EngineID) Endpoint {
	kind := []string{"small", "large", "unknown"}[w.rng.IntN(3)]
	cell := int(id) % 4
	return Endpoint{ID: id, Cell: cell, Zone: fmt.Sprint("z", cell/2), Kind: kind, CapacityWeight: float64(1 + w.rng.IntN(8))}
}

// start adds a controller that knows the list.
func (w *traceDriver) start() *traceController {
	c, err := New(w.config)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &traceController{index: len(w.controllers), controller: c}
	w.controllers = append(w.controllers, s)
	w.handle(s, EndpointList{Mode: ListComplete, Endpoints: w.listed()})
	return s
}

func (w *traceDriver) listed() (list []Endpoint) {
	for _, e := range w.engines {
		if e.State != Removed {
			list = append(list, e)
		}
	}
	return list
}

func (w *traceDriver) handle(s *traceController, ev Event) {
	for _, a := range s.controller.Handle(w.now, ev, nil) {
		traceAction(w.hash, s.index, a)
		w.carryOut(s, a)
	}
}

// carryOut does what the controller wants done.
func (w *traceDriver) carryOut(s *traceController, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		if r := s.request(a.Request); r != nil {
			r.outstanding = append(r.outstanding, len(r.attempts))
			r.attempts = append(r.attempts, a.Engine)
		}
	case Reject:
		s.recordAnswer(a.Request)
	case FailRequest:
		s.recordAnswer(a.Request)
	case SetTimer:
		s.timerAt, s.timerTag = w.now+a.After, a.Tag
	}
}

func (s *traceController) request(id RequestID) *traceRequest {
	for _, r := range s.requests {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *traceController) recordAnswer(id RequestID) {
	if r := s.request(id); r != nil {
		r.answered = true
	}
}

// dropFinished drops requests that are answered and have no attempt out.
func (s *traceController) dropFinished() {
	kept := s.requests[:0]
	for _, r := range s.requests {
		if !r.answered || len(r.outstanding) > 0 {
			kept = append(kept, r)
		}
	}
	s.requests = kept
}

// run plays so many steps on random controllers.
func (w *traceDriver) run(steps int) {
	for i := range steps {
		w.advance()
		w.step(w.controllers[w.rng.IntN(len(w.controllers))])
		if i%500 == 499 {
			w.traceState()
		}
	}
	w.traceState()
}

// advance lets time pass, up to the next timer at most.
func (w *traceDriver) advance() {
	until := w.now + time.Duration(w.rng.IntN(int(12*ms)))
	if w.rng.IntN(400) == 0 {
		until += time.Duration(w.rng.IntN(int(4 * time.Second)))
	}
	for _, s := range w.controllers {
		if s.timerAt > 0 && s.timerAt <= until {
			w.now = max(w.now, s.timerAt)
			s.timerAt = 0
			w.handle(s, TimerFired{Tag: s.timerTag})
		}
	}
	w.now = max(w.now, until)
}

// traceState writes what the controllers know, and what they think of the fleet.
func (w *traceDriver) traceState() {
	for _, s := range w.controllers {
		var v View
		s.controller.FillView(w.now, &v)
		traceViewOf(w.hash, &v)
		traceSnapshotOf(w.hash, s.controller.Snapshot())
		traceUsageOf(w.hash, s.controller.Usage(w.now))
		w.hash.Int(int64(s.controller.AvoidedEngines(w.now)))
		s.dropFinished()
	}
}

func (w *traceDriver) step(s *traceController) {
	switch n := w.rng.IntN(200); {
	case n < 70:
		w.arrive(s)
	case n < 150:
		w.endAttempt(s)
	case n < 162:
		w.reportProgress(s)
	case n < 170:
		w.handle(s, EngineLoad{Engine: w.anyEngine(), Report: *w.randomReport()})
	case n < 174:
		w.startResponse(s)
	case n < 179:
		w.leave(s)
	case n < 190:
		w.changeEngine(s)
	case n < 193:
		w.sendList(s)
	case n < 195:
		w.toggleCordon(s)
	case n < 197:
		w.hotRestart(s)
	case n < 198:
		w.configure(s)
	default:
		w.sendInvalid(s)
	}
}

// arrive has a client come. Requests of all controllers have ids of their own.
func (w *traceDriver) arrive(s *traceController) {
	k := w.config.Classes[w.rng.IntN(len(w.config.Classes))]
	w.lastID++
	a := Arrival{Request: RequestID(fmt.Sprint("q", w.lastID)), Class: k.Name, TimeLeft: k.Deadline, Resent: w.rng.IntN(8) == 0}
	a.Tenant = []string{"", "a", "b", "stranger"}[w.rng.IntN(4)]
	if w.rng.IntN(2) == 0 {
		a.Key = fmt.Sprint("key", w.rng.IntN(6))
	}
	if w.rng.IntN(2) == 0 {
		a.TableGroup = TableGroupOf(uint32(w.rng.IntN(5)))
	}
	if w.rng.IntN(3) > 0 {
		a.Estimate = time.Duration(w.rng.ExpFloat64() * float64(200*ms))
		a.NeedMB = w.rng.ExpFloat64() * 300
	}
	if w.rng.IntN(10) == 0 {
		a.TimeLeft = time.Duration(w.rng.Float64() * float64(k.Deadline))
	}
	s.requests = append(s.requests, &traceRequest{id: a.Request})
	w.handle(s, a)
}

// outstanding gives an attempt that is under way, with its place in the request's list, or nil.
func (w *traceDriver) outstanding(s *traceController) (r *traceRequest, at int) {
	for range 20 {
		if len(s.requests) == 0 {
			return nil, 0
		}
		r = s.requests[w.rng.IntN(len(s.requests))]
		if len(r.outstanding) > 0 {
			return r, w.rng.IntN(len(r.outstanding))
		}
	}
	return nil, 0
}

// endAttempt has an attempt end: most are served, those of engine 3 seldom.
func (w *traceDriver) endAttempt(s *traceController) {
	r, at := w.outstanding(s)
	if r == nil {
		return
	}
	hop := r.outstanding[at]
	r.outstanding = append(r.outstanding[:at], r.outstanding[at+1:]...)
	o := Served
	if w.rng.IntN(4) == 0 || r.attempts[hop] == 3 && w.rng.IntN(8) > 0 {
		o = Outcome(w.rng.IntN(int(NotSent) + 1))
	}
	if w.lostZone != "" && w.engines[r.attempts[hop]-1].Zone == w.lostZone {
		o = ConnectFailed
	}
	ev := AttemptEnd{Request: r.id, Attempt: hop, Outcome: o, Took: time.Duration(w.rng.ExpFloat64() * float64(300*ms))}
	ev.Last = o == Served && !r.answered
	r.answered = r.answered || ev.Last
	if w.rng.IntN(2) == 0 {
		ev.Report = w.randomReport()
	}
	if o == Served && w.rng.IntN(3) > 0 {
		ev.Work = time.Duration(w.rng.ExpFloat64() * float64(250*ms))
		ev.NeedMB = w.rng.ExpFloat64() * 400
	}
	w.handle(s, ev)
}

// randomReport gives a report, with some figures unknown.
func (w *traceDriver) randomReport() *LoadReport {
	l := &LoadReport{
		InFlight: float64(w.rng.IntN(20)), Waiting: float64(w.rng.IntN(3)), Busy: w.rng.Float64(), Disk: w.rng.Float64(),
		Memory: 1.2 * w.rng.Float64(), Failing: w.rng.Float64(),
	}
	for _, v := range []*float64{&l.InFlight, &l.Waiting, &l.Busy, &l.Disk, &l.Memory, &l.Failing} {
		if w.rng.IntN(6) == 0 {
			*v = -1
		}
	}
	return l
}

func (w *traceDriver) anyEngine() EngineID { return EngineID(1 + w.rng.IntN(len(w.engines)+1)) }

func (w *traceDriver) reportProgress(s *traceController) {
	r, at := w.outstanding(s)
	if r == nil {
		return
	}
	ev := AttemptProgress{Request: r.id, Attempt: r.outstanding[at], Kind: ProgressKind(w.rng.IntN(4))}
	switch ev.Kind {
	case ProgressFraction:
		ev.Amount = w.rng.Float64()
	case ProgressSpilling:
		ev.Amount = w.rng.ExpFloat64() * 500
	case ProgressBlocked:
		ev.Amount = float64(1 + w.rng.IntN(2))
	}
	w.handle(s, ev)
}

func (w *traceDriver) startResponse(s *traceController) {
	if r, at := w.outstanding(s); r != nil {
		w.handle(s, ResponseStarted{Request: r.id, Attempt: r.outstanding[at]})
	}
}

func (w *traceDriver) leave(s *traceController) {
	if len(s.requests) > 0 {
		r := s.requests[w.rng.IntN(len(s.requests))]
		r.answered = true
		w.handle(s, ClientGone{Request: r.id})
	}
}
