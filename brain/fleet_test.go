package brain

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// This file plays a whole fleet: hundreds of controllers that know nothing of each other, engines that share their cores
// among what they run, clients that come again. What it checks shows in the sum only.

// fleetDay is a day on a fleet.
type fleetDay struct {
	seed              uint64
	gateways, engines int
	load              float64 // asked of the capacity of all engines
	lasts             time.Duration
	bad               float64 // share of the engines that take three times as long
	join              float64 // share of the engines that are replaced between joinAt and joinAt + joinFor
	restart           float64 // share of the gateways that start anew at joinAt
	zone              bool    // zone z0 is lost at joinAt, silent, and back cold after joinFor
	zones             int
	told              time.Duration // how long after that lists say so; 0: never
	split             bool          // a zone is cut off from the others for as long: its gateways reach its engines alone
	joinAt, joinFor   time.Duration
	hasty             float64 // share of clients that give up early from joinAt on
	burst             float64 // traffic between the two, over the usual
}

const (
	fleetTick  = 5 * ms
	fleetCores = 24
	fleetSlots = 4 * fleetCores
	fleetKnee  = 2.0 // threads a core past which an engine does less
	fleetIO    = 1.5 // a query's work over the part of it that needs a core: the rest waits for disks
)

var fleetClasses = []struct {
	part, work, spread float64 // share of requests, core seconds, sigma of its logarithm
}{{0.78, 0.085, 0.8}, {0.16, 0.9, 1.0}, {0.06, 0.9, 0.6}}

type fleetQuery struct {
	router  *fleetRouter
	life    int // of the router
	id      RequestID
	hop     int
	class   int
	work    float64
	left    float64
	threads float64
	prefer  bool
}

type fleetEngine struct {
	Engine
	speed    float64
	dead     bool
	silent   bool
	fell     bool
	running  []*fleetQuery
	arrived  []spend
	coldSent float64
}

type fleetRouter struct {
	c      *Controller
	cfg    Config
	life   int
	weight float64
	wake   time.Duration
	open   map[RequestID]*fleetAsk
}

// fleetAsk is a client's try.
type fleetAsk struct {
	id       RequestID
	class    int
	work     float64
	first    time.Duration
	aim, end time.Duration
	tries    int
	hops     int
	prefer   bool
}

type fleetEvent struct {
	at time.Duration
	n  int
	do func()
}

type fleetHeap []fleetEvent

func (h fleetHeap) Len() int { return len(h) }
func (h fleetHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h fleetHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *fleetHeap) Push(x any)   { *h = append(*h, x.(fleetEvent)) }
func (h *fleetHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// fleetSpan is what happened in one second.
type fleetSpan struct {
	asked, gained       float64 // worth
	askedBy, gainedBy   [3]float64
	tries, sends, fulls int
	refused, failed     int
}

type fleet struct {
	t       *testing.T
	day     fleetDay
	rng     *rand.Rand
	now     time.Duration
	routers []*fleetRouter
	engines []*fleetEngine
	byID    map[EngineID]*fleetEngine
	heap    fleetHeap
	n, ids  int
	spans   []fleetSpan
	fell    int
	cut     bool    // zone z0 from the others
	most    float64 // work sent to a cold engine in a window, over what it may be sent
}

func (f *fleet) after(d time.Duration, do func()) {
	f.n++
	heap.Push(&f.heap, fleetEvent{f.now + d, f.n, do})
}

func (f *fleet) span() *fleetSpan { return f.spanAt(f.now) }

func (f *fleet) spanAt(at time.Duration) *fleetSpan {
	i := min(int((at-time.Hour)/time.Second), len(f.spans)-1)
	return &f.spans[i]
}

func fleetConfig(day fleetDay, i int) Config {
	cfg := Config{Seed: day.seed*1000 + uint64(i), Instance: i, Gateways: day.gateways, Tick: 1 * ms, MaxAttempts: 5, Priorities: true,
		RetryAfter: true, MaxRetryAfter: 2 * time.Second, SecondCopies: true, MaxHeld: 50, OverShareWorth: 0.1,
		Kinds: []Kind{{Name: "k", Cores: fleetCores, MemoryMB: 1 << 16}}, MaxGrantShare: 0.4,
		ColdFrom: 0.36, ColdFor: 12 * time.Second, OverloadFactor: 2, OverloadFor: 1500 * ms,
		Classes: []Class{{Name: "lookup", Aim: 400 * ms, AimStretch: 2, Deadline: 1960 * ms, Worth: 1, Threads: 1, WaitsOnLoad: true},
			{Name: "report", Aim: 590 * ms, AimStretch: 2.5, Deadline: 7800 * ms, Worth: 10, LateWorth: 0.4, Threads: 4, WaitsOnLoad: true},
			{Name: "load", Aim: 1180 * ms, AimStretch: 3, Deadline: 9800 * ms, Worth: 7.5, LateWorth: 0.5, Threads: 2, Load: true, Semantics: AtMostOnce}}}
	return cfg
}

func newFleetWorld(t *testing.T, day fleetDay) *fleet {
	f := &fleet{t: t, day: day, rng: rand.New(rand.NewPCG(day.seed, 77)), now: time.Hour, byID: map[EngineID]*fleetEngine{},
		spans: make([]fleetSpan, int(day.lasts/time.Second)+1)}
	for i := range day.engines {
		f.addEngine(EngineID(i+1), i)
	}
	for i := range day.gateways {
		r := &fleetRouter{cfg: fleetConfig(day, i), weight: math.Exp(0.6 * f.rng.NormFloat64())}
		f.routers = append(f.routers, r)
		f.startRouter(r)
	}
	return f
}

func (f *fleet) addEngine(id EngineID, i int) *fleetEngine {
	e := &fleetEngine{Engine: Engine{ID: id, Kind: "k", Zone: fmt.Sprint("z", i%f.day.zones), Cell: i % f.day.zones, Size: 1}, speed: 0.9 + 0.2*f.rng.Float64()}
	if f.rng.Float64() < f.day.bad {
		e.speed /= 3
	}
	f.engines = append(f.engines, e)
	f.byID[id] = e
	return e
}

func (f *fleet) startRouter(r *fleetRouter) {
	c, err := New(r.cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	r.c, r.life, r.open = c, r.life+1, map[RequestID]*fleetAsk{}
	var list []Engine
	for _, e := range f.engines {
		if !e.dead {
			list = append(list, e.Engine)
		}
	}
	f.tell(r, EngineList{Mode: ListFull, Engines: list})
}

func (f *fleet) tell(r *fleetRouter, ev Event) {
	for _, a := range r.c.Handle(f.now, ev, nil) {
		f.act(r, a)
	}
}

// announce tells all routers of engines, each after a time of its own.
func (f *fleet) announce(late time.Duration, list ...Engine) {
	for _, r := range f.routers {
		f.after(late+time.Duration(f.rng.Float64()*float64(300*ms)), func() { f.tell(r, EngineList{Mode: ListChanges, Engines: list}) })
	}
}

func (f *fleet) act(r *fleetRouter, a Action) {
	switch a := a.(type) {
	case SetTimer:
		at := f.now + a.After
		r.wake = at
		life := r.life
		f.after(a.After, func() {
			if r.life == life && r.wake == at {
				f.tell(r, Timer{Tag: a.Tag})
			}
		})
	case SetTerms:
		if q := r.open[a.Request]; q != nil {
			q.prefer = a.Priority == 2
		}
	case Send:
		f.span().sends++
		q := r.open[a.Request]
		x := &fleetQuery{router: r, life: r.life, id: a.Request, hop: q.hops, class: q.class, work: q.work, left: q.work,
			threads: float64(r.cfg.Classes[q.class].Threads), prefer: q.prefer}
		q.hops++
		e := f.byID[a.Engine]
		f.after(ms, func() { f.reach(e, x) })
	case Refuse:
		f.span().refused++
		f.over(r, a.Request, a.RetryAfter)
	case Fail:
		f.span().failed++
		f.over(r, a.Request, 0)
	}
}

func (f *fleet) reach(e *fleetEngine, x *fleetQuery) {
	switch {
	case e.silent, f.cut && (e.Zone == "z0") != (x.router.cfg.Instance%f.day.zones == 0):
		// Most find no connection, some wait in vain on one that they had; a load is not given up so soon.
		switch {
		case f.rng.Float64() < 0.3 && x.router.cfg.Classes[x.class].Load:
			f.after(2*time.Second, func() { f.ended(x, TimedOut) })
		case f.rng.Float64() < 0.3:
			f.after(420*ms, func() { f.ended(x, TimedOut) })
		default:
			f.after(400*ms, func() { f.ended(x, ConnectFailed) })
		}
		return
	case e.dead:
		f.ended(x, ConnectFailed)
		return
	}
	if share := f.warmth(e); share < 1 {
		w := fleetClasses[x.class].work
		e.arrived = append(e.arrived, spend{f.now, w})
		e.coldSent += w
		sum := 0.0
		for len(e.arrived) > 0 && e.arrived[0].at < f.now-1500*ms {
			e.arrived = e.arrived[1:]
		}
		for _, s := range e.arrived {
			sum += s.work
		}
		f.most = max(f.most, sum/(2*share*fleetCores*0.85*fleetIO*1.5))
		if sum > 2*share*fleetCores*0.85*fleetIO*1.5 && !e.fell {
			e.fell, e.dead = true, true
			f.fell++
			f.lose(e)
			f.ended(x, Reset)
			return
		}
	}
	if len(e.running) >= fleetSlots {
		f.span().fulls++
		f.ended(x, Full)
		return
	}
	e.running = append(e.running, x)
}

func (f *fleet) lose(e *fleetEngine) {
	for _, x := range e.running {
		f.ended(x, Reset)
	}
	e.running = nil
}

func (f *fleet) warmth(e *fleetEngine) float64 {
	if e.Born == 0 || f.now > e.Born+12*time.Second {
		return 1
	}
	return 0.36 + 0.64*(f.now-e.Born).Seconds()/12
}

func (f *fleet) ended(x *fleetQuery, o Outcome) {
	f.after(ms, func() {
		r := x.router
		if r.life != x.life {
			return
		}
		last := false
		if q := r.open[x.id]; q != nil && o == Served {
			last = true
			k := r.cfg.Classes[q.class]
			gain := 0.0
			if f.now <= q.aim {
				gain = k.Worth
			} else if f.now <= q.end {
				gain = k.Worth * k.LateWorth
			}
			s := f.spanAt(q.first)
			s.gained += gain
			s.gainedBy[q.class] += gain
			delete(r.open, x.id)
		}
		f.tell(r, AttemptEnd{Request: x.id, Attempt: x.hop, Outcome: o, Last: last, Work: secs(x.work)})
	})
}

// over is an answer that does not serve: the client may come again.
func (f *fleet) over(r *fleetRouter, id RequestID, after time.Duration) {
	q := r.open[id]
	if q == nil {
		f.t.Fatal("an answer for a request that is not open")
	}
	delete(r.open, id)
	if q.tries >= 2 || f.rng.Float64() < 0.2 {
		return
	}
	wait := time.Duration((0.5 + f.rng.Float64()) * float64(300*ms) * float64(q.tries+1))
	if after > 0 && f.rng.Float64() < 0.7 {
		wait = after
	}
	f.after(wait, func() {
		f.ask(r, &fleetAsk{class: q.class, work: q.work, first: q.first, aim: q.aim, end: q.end, tries: q.tries + 1})
	})
}

func (f *fleet) ask(r *fleetRouter, q *fleetAsk) {
	k := r.cfg.Classes[q.class]
	f.ids++
	q.id = RequestID(fmt.Sprint(f.ids))
	if q.tries == 0 {
		q.first, q.end = f.now, f.now+time.Duration(0.8*float64(k.Deadline))
		if f.rng.Float64() < f.day.hasty && f.now > time.Hour+f.day.joinAt {
			q.end = f.now + time.Duration(0.3*f.rng.Float64()*float64(k.Deadline))
		}
		q.aim = f.now + k.Aim + secs(k.AimStretch*q.work/float64(max(k.Threads, 1)))
		s := f.span()
		s.asked += k.Worth
		s.askedBy[q.class] += k.Worth
	}
	if q.end-f.now < 20*ms {
		return // the client has no time left for another try
	}
	f.span().tries++
	r.open[q.id] = q
	est := q.work * math.Exp(0.3*f.rng.NormFloat64())
	f.tell(r, Arrival{Request: q.id, Class: k.Name, Estimate: secs(est), TimeLeft: q.end - f.now, Resent: q.tries > 0})
	life := r.life
	f.after(q.end-f.now+50*ms, func() {
		if r.life == life && r.open[q.id] == q {
			f.t.Fatalf("no answer to a request at its client's end")
		}
	})
}

// work moves every engine on by a tick.
func (f *fleet) work() {
	dt := fleetTick.Seconds()
	for _, e := range f.engines {
		if e.dead || e.silent || len(e.running) == 0 {
			continue
		}
		pref, other := 0.0, 0.0
		for _, x := range e.running {
			if x.prefer {
				pref += x.threads
			} else {
				other += x.threads
			}
		}
		cores := fleetCores * e.speed * f.warmth(e)
		room := cores * fleetIO
		if over := (pref + other) / (fleetKnee * cores); over > 1 {
			room /= 1 + 2*(over-1) // threads in each other's way, and memory that is short
		}
		p := min(pref, room*8*pref/(8*pref+other))
		o := min(other, room-p)
		p = min(pref, room-o)
		left := e.running[:0]
		for _, x := range e.running {
			rate := 0.0
			if x.prefer {
				rate = p / pref * x.threads
			} else {
				rate = o / other * x.threads
			}
			x.left -= rate * dt
			if x.left > 0 {
				left = append(left, x)
				continue
			}
			f.ended(x, Served)
		}
		clear(e.running[len(left):])
		e.running = left
	}
}

func (f *fleet) run() {
	d, sum := f.day, 0.0
	for _, r := range f.routers {
		sum += r.weight
	}
	mean := 0.0
	for _, k := range fleetClasses {
		mean += k.part * k.work
	}
	rate := d.load * float64(d.engines) * fleetCores * fleetIO * 0.85 / mean
	for _, r := range f.routers {
		var next func()
		own := rate * r.weight / sum
		next = func() {
			if f.now < time.Hour+d.lasts {
				f.arrive(r)
				at := own
				if t := f.now - time.Hour; d.burst > 0 && t > d.joinAt && t < d.joinAt+d.joinFor {
					at *= d.burst
				}
				f.after(secs(f.rng.ExpFloat64()/at), next)
			}
		}
		f.after(secs(f.rng.ExpFloat64()/own), next)
	}
	f.troubles()
	for end := time.Hour + d.lasts + 3*time.Second; f.now < end; {
		until := f.now + fleetTick
		for len(f.heap) > 0 && f.heap[0].at <= until {
			ev := heap.Pop(&f.heap).(fleetEvent)
			f.now = max(f.now, ev.at)
			ev.do()
		}
		f.now = until
		f.work()
	}
}

func (f *fleet) arrive(r *fleetRouter) {
	u, class := f.rng.Float64(), 0
	for i, k := range fleetClasses {
		if class = i; u < k.part {
			break
		}
		u -= k.part
	}
	k := fleetClasses[class]
	f.ask(r, &fleetAsk{class: class, work: k.work * math.Exp(k.spread*f.rng.NormFloat64()-k.spread*k.spread/2)})
}

func (f *fleet) troubles() {
	d := f.day
	for i, e := range f.engines {
		if f.rng.Float64() >= d.join {
			continue
		}
		f.after(d.joinAt+time.Duration(f.rng.Float64()*float64(d.joinFor)), func() {
			e.State = Draining
			f.announce(200*ms, e.Engine)
			f.after(3*time.Second, func() { e.dead = true; f.lose(e); e.State = Gone; f.announce(200*ms, e.Engine) })
			f.after(700*ms, func() {
				fresh := f.addEngine(EngineID(1000+i), i)
				fresh.Born = f.now
				f.announce(800*ms, fresh.Engine)
			})
		})
	}
	for _, e := range f.engines {
		if e.Zone != "z0" || !d.zone {
			continue
		}
		f.after(d.joinAt, func() { e.silent = true; e.running = nil })
		if d.told > 0 {
			f.after(d.joinAt+d.told, func() { e.State = Gone; f.announce(0, e.Engine) })
		}
		f.after(d.joinAt+d.joinFor, func() {
			e.silent, e.State, e.Born = false, Live, f.now
			f.announce(300*ms, e.Engine)
		})
	}
	if d.split {
		f.after(d.joinAt, func() { f.cut = true })
		f.after(d.joinAt+d.joinFor, func() { f.cut = false })
	}
	for _, r := range f.routers {
		if f.rng.Float64() >= d.restart {
			continue
		}
		f.after(d.joinAt, func() {
			f.startRouter(r)
		})
	}
}

// served is the share of the worth that was asked for from one second on to another.
func (f *fleet) served(from, to int) float64 {
	asked, gained := 0.0, 0.0
	for _, s := range f.spans[from:min(to, len(f.spans))] {
		asked, gained = asked+s.asked, gained+s.gained
	}
	return gained / max(asked, 1)
}

// What each of hundreds of gateways does with the little that it sees adds up to service: on a fleet most of whose engines
// are new, one that is restarted, one that loses a zone. It guards against storms of the gateways' own making, and against
// cold engines that stand unused or fall over.
func TestFleetServes(t *testing.T) {
	day := fleetDay{seed: 1, gateways: 270, engines: 80, zones: 5, load: 0.6, lasts: 26 * time.Second, bad: 0.125, joinAt: 6 * time.Second, joinFor: 7 * time.Second}
	for _, k := range []struct {
		name   string
		change func(*fleetDay)
		served float64 // of the worth from joinAt on
		after  float64 // in the last four seconds
	}{
		{"calm", func(d *fleetDay) { d.bad = 0 }, 0.98, 0.98},
		{"join", func(d *fleetDay) { d.join, d.hasty = 0.6, 0.3 }, 0.77, 0.84},
		{"roll", func(d *fleetDay) { d.join, d.bad, d.restart, d.burst = 0.5, 0, 0.3, 1.8 }, 0.74, 0.95},
		{"herd", func(d *fleetDay) { d.restart = 0.7 }, 0.96, 0.97},
		{"split", func(d *fleetDay) { d.split, d.bad, d.joinFor = true, 0, 6*time.Second }, 0.98, 0.98},
		{"zone", func(d *fleetDay) { d.zone, d.joinFor = true, 5*time.Second }, 0.94, 0.93},
		{"half of a small fleet", func(d *fleetDay) {
			d.gateways, d.engines, d.zones, d.zone, d.told, d.joinFor, d.burst = 80, 30, 2, true, 3*time.Second, 7*time.Second, 1.3
		}, 0.78, 0.95},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			d := day
			k.change(&d)
			f := newFleetWorld(t, d)
			f.run()
			if served := f.served(6, 26); served < k.served {
				t.Errorf("%.3f of the worth was served, want %.2f", served, k.served)
			}
			if served := f.served(22, 26); served < k.after {
				t.Errorf("%.3f of the worth was served at the end, want %.2f", served, k.after)
			}
			if f.fell > 0 || f.most > 0.8 {
				t.Errorf("%d cold engines fell over; the most sent to one was %.2f of what it may be sent", f.fell, f.most)
			}
			sends, fulls := 0, 0
			for _, s := range f.spans {
				sends, fulls = sends+s.sends, fulls+s.fulls
			}
			if fulls*10 > sends {
				t.Errorf("%d of %d sends were answered full", fulls, sends)
			}
			t.Logf("served %.3f, at the end %.3f; most to a cold engine %.2f; %d sends, %d full", f.served(6, 26), f.served(22, 26), f.most, sends, fulls)
		})
	}
}
