package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"windflow/internal/tracetest"
)

// traceWorld drives a controller with random events of all kinds, from a fixed seed, and writes all that it does into a
// trace. After a takeover it drives two, which tell each other what they have running.
type traceWorld struct {
	t       *testing.T
	hash    *tracetest.Hash
	rng     *rand.Rand
	cfg     Config
	now     time.Duration
	sides   []*traceSide
	engines []Endpoint
	most    int    // engines over all time
	lost    string // zone whose engines do not answer
	next    int    // number of the latest request
}

// traceSide is one controller and what it has open.
type traceSide struct {
	index    int
	c        *Controller
	requests []*traceRequest
	wakeAt   time.Duration // 0 for no timer
	wakeTag  int64
}

type traceRequest struct {
	id       RequestID
	attempts []EngineID
	out      []int // attempts without an outcome
	answered bool
}

// traceEngines is how many engines there are at first, unless a setting says otherwise.
const traceEngines = 9

func newTraceWorld(t *testing.T, h *tracetest.Hash, cfg Config, seed uint64, engines int) *traceWorld {
	w := &traceWorld{t: t, hash: h, rng: rand.New(rand.NewPCG(seed, 2026)), cfg: cfg, now: time.Hour, most: 3 * engines}
	for i := range engines {
		w.engines = append(w.engines, w.newEngine(EngineID(i+1)))
	}
	w.start()
	return w
}

// newEngine gives an engine, some of them large, some of another kind.
func (w *traceWorld) newEngine(id EngineID) Endpoint {
	kind := []string{"small", "large", "unknown"}[w.rng.IntN(3)]
	cell := int(id) % 4
	return Endpoint{ID: id, Cell: cell, Zone: fmt.Sprint("z", cell/2), Kind: kind, CapacityWeight: float64(1 + w.rng.IntN(8))}
}

// start adds a controller that knows the list.
func (w *traceWorld) start() *traceSide {
	c, err := New(w.cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &traceSide{index: len(w.sides), c: c}
	w.sides = append(w.sides, s)
	w.handle(s, EndpointList{Mode: ListComplete, Endpoints: w.listed()})
	return s
}

func (w *traceWorld) listed() (list []Endpoint) {
	for _, e := range w.engines {
		if e.State != Removed {
			list = append(list, e)
		}
	}
	return list
}

func (w *traceWorld) handle(s *traceSide, ev Event) {
	for _, a := range s.c.Handle(w.now, ev, nil) {
		traceAction(w.hash, s.index, a)
		w.act(s, a)
	}
}

// act does what the controller wants done.
func (w *traceWorld) act(s *traceSide, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		if r := s.request(a.Request); r != nil {
			r.out = append(r.out, len(r.attempts))
			r.attempts = append(r.attempts, a.Engine)
		}
	case Reject:
		s.answered(a.Request)
	case FailRequest:
		s.answered(a.Request)
	case SetTimer:
		s.wakeAt, s.wakeTag = w.now+a.After, a.Tag
	}
}

func (s *traceSide) request(id RequestID) *traceRequest {
	for _, r := range s.requests {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *traceSide) answered(id RequestID) {
	if r := s.request(id); r != nil {
		r.answered = true
	}
}

// forget drops requests that are answered and have no attempt out.
func (s *traceSide) forget() {
	kept := s.requests[:0]
	for _, r := range s.requests {
		if !r.answered || len(r.out) > 0 {
			kept = append(kept, r)
		}
	}
	s.requests = kept
}

// run plays so many steps on random controllers.
func (w *traceWorld) run(steps int) {
	for i := range steps {
		w.wait()
		w.step(w.sides[w.rng.IntN(len(w.sides))])
		if i%500 == 499 {
			w.show()
		}
	}
	w.show()
}

// wait lets time pass, up to the next timer at most.
func (w *traceWorld) wait() {
	until := w.now + time.Duration(w.rng.IntN(int(12*ms)))
	if w.rng.IntN(400) == 0 {
		until += time.Duration(w.rng.IntN(int(4 * time.Second)))
	}
	for _, s := range w.sides {
		if s.wakeAt > 0 && s.wakeAt <= until {
			w.now = max(w.now, s.wakeAt)
			s.wakeAt = 0
			w.handle(s, TimerFired{Tag: s.wakeTag})
		}
	}
	w.now = max(w.now, until)
}

// show writes what the controllers know, and what they think of the fleet.
func (w *traceWorld) show() {
	for _, s := range w.sides {
		var v View
		s.c.FillView(w.now, &v)
		traceOfView(w.hash, &v)
		traceOfSnapshot(w.hash, s.c.Snapshot())
		traceOfUse(w.hash, s.c.Usage(w.now))
		w.hash.Int(int64(s.c.AvoidedEngines(w.now)))
		s.forget()
	}
}

func (w *traceWorld) step(s *traceSide) {
	switch n := w.rng.IntN(200); {
	case n < 70:
		w.arrive(s)
	case n < 150:
		w.end(s)
	case n < 162:
		w.note(s)
	case n < 170:
		w.handle(s, EngineLoad{Engine: w.anyEngine(), Report: *w.load()})
	case n < 174:
		w.stream(s)
	case n < 179:
		w.abort(s)
	case n < 190:
		w.change(s)
	case n < 193:
		w.lists(s)
	case n < 195:
		w.exclude(s)
	case n < 197:
		w.peers(s)
	case n < 198:
		w.configure(s)
	default:
		w.strange(s)
	}
}

// arrive has a client come. Requests of all controllers have ids of their own.
func (w *traceWorld) arrive(s *traceSide) {
	k := w.cfg.Classes[w.rng.IntN(len(w.cfg.Classes))]
	w.next++
	a := Arrival{Request: RequestID(fmt.Sprint("q", w.next)), Class: k.Name, TimeLeft: k.Deadline, Resent: w.rng.IntN(8) == 0}
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

// out gives an attempt that is under way, with its place in the request's list, or nil.
func (w *traceWorld) out(s *traceSide) (r *traceRequest, at int) {
	for range 20 {
		if len(s.requests) == 0 {
			return nil, 0
		}
		r = s.requests[w.rng.IntN(len(s.requests))]
		if len(r.out) > 0 {
			return r, w.rng.IntN(len(r.out))
		}
	}
	return nil, 0
}

// end has an attempt end: most are served, those of engine 3 seldom.
func (w *traceWorld) end(s *traceSide) {
	r, at := w.out(s)
	if r == nil {
		return
	}
	hop := r.out[at]
	r.out = append(r.out[:at], r.out[at+1:]...)
	o := Served
	if w.rng.IntN(4) == 0 || r.attempts[hop] == 3 && w.rng.IntN(8) > 0 {
		o = Outcome(w.rng.IntN(int(NotSent) + 1))
	}
	if w.lost != "" && w.engines[r.attempts[hop]-1].Zone == w.lost {
		o = ConnectFailed
	}
	ev := AttemptEnd{Request: r.id, Attempt: hop, Outcome: o, Took: time.Duration(w.rng.ExpFloat64() * float64(300*ms))}
	ev.Last = o == Served && !r.answered
	r.answered = r.answered || ev.Last
	if w.rng.IntN(2) == 0 {
		ev.Report = w.load()
	}
	if o == Served && w.rng.IntN(3) > 0 {
		ev.Work = time.Duration(w.rng.ExpFloat64() * float64(250*ms))
		ev.NeedMB = w.rng.ExpFloat64() * 400
	}
	w.handle(s, ev)
}

// load gives a report, with some figures unknown.
func (w *traceWorld) load() *LoadReport {
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

func (w *traceWorld) anyEngine() EngineID { return EngineID(1 + w.rng.IntN(len(w.engines)+1)) }

func (w *traceWorld) note(s *traceSide) {
	r, at := w.out(s)
	if r == nil {
		return
	}
	ev := AttemptProgress{Request: r.id, Attempt: r.out[at], Kind: ProgressKind(w.rng.IntN(4))}
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

func (w *traceWorld) stream(s *traceSide) {
	if r, at := w.out(s); r != nil {
		w.handle(s, ResponseStarted{Request: r.id, Attempt: r.out[at]})
	}
}

func (w *traceWorld) abort(s *traceSide) {
	if len(s.requests) > 0 {
		r := s.requests[w.rng.IntN(len(s.requests))]
		r.answered = true
		w.handle(s, ClientGone{Request: r.id})
	}
}
