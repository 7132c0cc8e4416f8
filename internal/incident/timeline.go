package incident

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"windflow/internal/record"
)

// Joiner takes records in, of any processes and in any order of them; each process's come in the order of its time. It
// holds a row a second and what happened, never the records.
type Joiner struct {
	processes map[string]*process
	classes   map[string]record.Class
}

type process struct {
	head    record.Header
	marks   map[sharedEvent]float64
	changes []record.EngineChange
	seconds []second
	events  []record.Event
	gaps    []record.Gap
	from    float64
	to      float64
}

type key struct{ class, tenant string }

type second struct {
	at   float64
	rows map[key]record.ClassStats
	held int
	jam  float64
}

// NewJoiner returns a joiner of nothing yet.
func NewJoiner() *Joiner {
	return &Joiner{processes: map[string]*process{}, classes: map[string]record.Class{}}
}

// Add takes a record in; h is its segment's header.
func (j *Joiner) Add(h *record.Header, r record.Record) {
	p := j.processes[h.ProcessID]
	if p == nil {
		p = &process{head: *h, marks: map[sharedEvent]float64{}, from: r.TimeMS(), to: r.TimeMS()}
		j.processes[h.ProcessID] = p
		for _, c := range h.Classes {
			j.classes[c.Name] = c
		}
	}
	at := r.TimeMS()
	p.from, p.to = min(p.from, at), max(p.to, at)
	switch r := r.(type) {
	case *record.EngineChange:
		if m, ok := markOf(r); ok {
			if _, known := p.marks[m]; !known {
				p.marks[m] = r.AtMS
			}
		}
		p.changes = append(p.changes, *r)
	case *record.Interval:
		s := second{
			at: r.AtMS, rows: make(map[key]record.ClassStats, len(r.Classes)), held: r.QueuedRequests,
			jam: r.Congestion,
		}
		for _, row := range r.Classes {
			s.rows[key{row.Class, row.Tenant}] = row
		}
		p.seconds = append(p.seconds, s)
	case *record.Event:
		p.events = append(p.events, *r)
	case *record.Gap:
		p.gaps = append(p.gaps, *r)
	}
}

// Timeline is what records tell. All times are on the first router's clock, in milliseconds.
type Timeline struct {
	FromMS, ToMS float64
	Processes    []Process
	Engines      []EngineHistory
	Incidents    []Incident
	Gaps         []Gap
	Loss         []float64 // of worth, 0 to 1, a value a second from From on; NaN where nothing ended
	BaselineLoss float64   // in the calm
}

// Process is one process of a router.
type Process struct {
	Router       string
	Incarnation  uint64
	ProcessID    string
	FromMS, ToMS float64
	Clock        Clock
	Intervals    int // seconds that it wrote
}

// EngineHistory is what the routers held of an engine.
type EngineHistory struct {
	EngineID string
	Spans    []Span
}

// Span is a state that an engine had, as one router saw it.
type Span struct {
	Router             string
	FromMS, ToMS       float64
	UncertaintyMS      float64
	State              record.State
	Slowness           float64
	FailureRate        float64
	ConnectionFailures int
}

// Incident is a stretch in which service was worth less than in the calm.
type Incident struct {
	FromMS, ToMS float64
	Loss         float64  // mean share of the worth that was lost
	Impacts      []Impact // the worst first
}

// Impact is a class and tenant in an incident.
type Impact struct {
	Class, Tenant          string
	Late, Rejected, Failed int
	Ended                  int
	Loss                   float64 // share of its own worth that was lost
	BaselineLoss           float64 // the same in the calm
	LossShare              float64 // of all that was lost
}

// Gap is a stretch of which records don't tell.
type Gap struct {
	Router       string
	FromMS, ToMS float64
	Dropped      int // that were dropped; 0 where none were written
}

const (
	// An incident begins where the loss, over windowS seconds, passes that of the calm by riseBy, and ends where it has
	// been within fallBy for fallS seconds; shorter ones than leastS are none. Two that lie closer than mergeS are one.
	windowS, leastS, fallS, mergeS = 3, 2, 3, 5
	riseBy, fallBy                 = 0.08, 0.04
	// calmQuantile of all seconds is the calm.
	calmQuantile = 0.25
	// silentMS is how long a process may write no second before it counts as missing.
	silentMS = 2500.0
)

// Timeline joins what was added.
func (j *Joiner) Timeline() *Timeline {
	s := &Timeline{FromMS: math.Inf(1), ToMS: math.Inf(-1)}
	order := slices.SortedFunc(maps.Values(j.processes), func(a, b *process) int {
		return cmp.Or(cmp.Compare(a.head.Router, b.head.Router), cmp.Compare(a.from, b.from), cmp.Compare(a.head.ProcessID, b.head.ProcessID))
	})
	if len(order) == 0 {
		return &Timeline{}
	}
	clocks := clocksOf(order)
	for i, p := range order {
		c := clocks[i]
		s.Processes = append(s.Processes, Process{
			Router: p.head.Router, Incarnation: p.head.Incarnation, ProcessID: p.head.ProcessID,
			FromMS: c.Correct(p.from), ToMS: c.Correct(p.to), Clock: c, Intervals: len(p.seconds),
		})
		s.FromMS, s.ToMS = min(s.FromMS, c.Correct(p.from)), max(s.ToMS, c.Correct(p.to))
		for _, g := range p.gaps {
			s.Gaps = append(s.Gaps, Gap{p.head.Router, c.Correct(g.FromMS), c.Correct(g.AtMS), g.Dropped})
		}
		for k := 1; k < len(p.seconds); k++ {
			if a, b := p.seconds[k-1].at, p.seconds[k].at; b-a > silentMS {
				s.Gaps = append(s.Gaps, Gap{p.head.Router, c.Correct(a), c.Correct(b), 0})
			}
		}
	}
	s.Engines = lives(order, clocks, s.ToMS)
	j.service(s, order, clocks)
	slices.SortFunc(s.Gaps, func(a, b Gap) int { return cmp.Compare(a.FromMS, b.FromMS) })
	return s
}

// clocksOf ties the clocks of all processes to the one with the most marks. Processes of one router run on one machine and
// share its clock, but each takes it at its own start; where they share no mark, it is taken to agree.
func clocksOf(order []*process) []Clock {
	clocks := make([]Clock, len(order))
	ref := -1
	for i, p := range order {
		if ref < 0 || len(p.marks) > len(order[ref].marks) {
			ref = i
		}
	}
	// Marks that a process tied to the reference saw are the reference's, corrected: a process that ended early and one that
	// started late are tied through a third.
	known := map[sharedEvent]float64{}
	tied := make([]bool, len(order))
	tie := func(i int, c Clock) {
		clocks[i], tied[i] = c, true
		for m, at := range order[i].marks {
			if _, there := known[m]; !there {
				known[m] = c.Correct(at)
			}
		}
	}
	tie(ref, Clock{Measured: true, UncertaintyMS: leastMS, SharedEvents: len(order[ref].marks), ReferenceMS: order[ref].from})
	for {
		best, most := -1, 0
		for i, p := range order {
			shared := 0
			for m := range p.marks {
				if _, there := known[m]; there && !tied[i] {
					shared++
				}
			}
			if shared > most {
				best, most = i, shared
			}
		}
		if best < 0 {
			break
		}
		tie(best, estimate(order[best].marks, known))
	}
	for i, p := range order {
		if tied[i] {
			continue
		}
		clocks[i] = Clock{UncertaintyMS: untoldMS, ReferenceMS: p.from}
		for k, other := range order { // its machine's clock, if another process of the router is tied
			if tied[k] && other.head.Router == p.head.Router {
				c := clocks[k]
				c.SharedEvents, c.UncertaintyMS = 0, c.UncertaintyMS+leastMS+10
				clocks[i] = c
				break
			}
		}
	}
	return clocks
}

// lives gives each engine's states over time, router by router.
func lives(order []*process, clocks []Clock, end float64) []EngineHistory {
	spans := map[string][]Span{}
	for i, p := range order {
		c := clocks[i]
		open := map[string]int{}
		until := min(c.Correct(p.to), end)
		for _, e := range p.changes {
			at := c.Correct(e.AtMS)
			if k, there := open[e.EngineID]; there {
				spans[e.EngineID][k].ToMS = at
				delete(open, e.EngineID)
			}
			if e.State == record.Gone {
				continue
			}
			spans[e.EngineID] = append(spans[e.EngineID], Span{
				Router: p.head.Router, FromMS: at, ToMS: until, UncertaintyMS: c.UncertaintyMS, State: e.State,
				Slowness: e.Slowness, FailureRate: e.FailureRate, ConnectionFailures: e.ConnectionFailures,
			})
			open[e.EngineID] = len(spans[e.EngineID]) - 1
		}
	}
	var all []EngineHistory
	for _, id := range slices.Sorted(maps.Keys(spans)) {
		list := spans[id]
		slices.SortStableFunc(list, func(a, b Span) int {
			return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.FromMS, b.FromMS))
		})
		all = append(all, EngineHistory{EngineID: id, Spans: list})
	}
	return all
}

// worth gives a class's worth and the share of it that a late answer earns.
func (j *Joiner) worth(class string) (worth, late float64) {
	if c, ok := j.classes[class]; ok && c.PriorityWeight > 0 {
		return c.PriorityWeight, c.LateWeightShare
	}
	return 1, 0
}

// service finds the incidents: it goes by what ended in each second, so that long queries are not missed while they run.
func (j *Joiner) service(s *Timeline, order []*process, clocks []Clock) {
	n := int((s.ToMS-s.FromMS)/1000) + 1
	buckets := make([]map[key]record.ClassStats, n)
	for i, p := range order {
		for _, sec := range p.seconds {
			at := min(max(int((clocks[i].Correct(sec.at)-s.FromMS)/1000), 0), n-1)
			if buckets[at] == nil {
				buckets[at] = map[key]record.ClassStats{}
			}
			for k, row := range sec.rows {
				sum := buckets[at][k]
				sum.OnTime, sum.Late = sum.OnTime+row.OnTime, sum.Late+row.Late
				sum.Rejected, sum.Failed = sum.Rejected+row.Rejected, sum.Failed+row.Failed
				buckets[at][k] = sum
			}
		}
	}
	value := func(k key, row record.ClassStats) (got, most float64) {
		worth, late := j.worth(k.class)
		return worth * (float64(row.OnTime) + late*float64(row.Late)),
			worth * float64(row.OnTime+row.Late+row.Rejected+row.Failed)
	}
	s.Loss = make([]float64, n)
	var calm []float64
	for i := range n {
		var got, most float64
		for w := max(i-windowS+1, 0); w <= i; w++ {
			for k, row := range buckets[w] {
				g, m := value(k, row)
				got, most = got+g, most+m
			}
		}
		if s.Loss[i] = math.NaN(); most > 0 {
			s.Loss[i] = 1 - got/most
			calm = append(calm, s.Loss[i])
		}
	}
	if len(calm) == 0 {
		return
	}
	slices.Sort(calm)
	s.BaselineLoss = calm[int(calmQuantile*float64(len(calm)-1))]
	var found [][2]int
	for i := 0; i < n; i++ {
		if !(s.Loss[i] > s.BaselineLoss+riseBy) {
			continue
		}
		last, good := i, 0
		for k := i; k < n && good < fallS; k++ {
			if math.IsNaN(s.Loss[k]) || s.Loss[k] > s.BaselineLoss+fallBy {
				good = 0
				if s.Loss[k] > s.BaselineLoss+fallBy {
					last = k
				}
			} else {
				good++
			}
		}
		if k := len(found) - 1; k >= 0 && i-found[k][1] <= mergeS {
			found[k][1] = last
		} else {
			found = append(found, [2]int{i, last})
		}
		i = last
	}
	inside := make([]bool, n)
	for _, f := range found {
		for i := max(f[0]-windowS, 0); i <= f[1]; i++ {
			inside[i] = true
		}
	}
	quiet := map[key]record.ClassStats{}
	for i, b := range buckets {
		if inside[i] {
			continue
		}
		for k, row := range b {
			quiet[k] = plus(quiet[k], row)
		}
	}
	for _, f := range found {
		if f[1]-f[0]+1 < leastS {
			continue
		}
		from := max(f[0]-windowS+1, 0) // what the window's first second looked back on
		in := Incident{FromMS: s.FromMS + 1000*float64(from), ToMS: s.FromMS + 1000*float64(f[1]+1)}
		sums := map[key]record.ClassStats{}
		for i := from; i <= f[1]; i++ {
			for k, row := range buckets[i] {
				sums[k] = plus(sums[k], row)
			}
		}
		var lost, all float64
		for k, row := range sums {
			got, most := value(k, row)
			lost, all = lost+most-got, all+most
			h := Impact{
				Class: k.class, Tenant: k.tenant, Late: row.Late, Rejected: row.Rejected, Failed: row.Failed,
				Ended: row.OnTime + row.Late + row.Rejected + row.Failed,
			}
			if most > 0 {
				h.Loss = 1 - got/most
			}
			if got, most := value(k, quiet[k]); most > 0 {
				h.BaselineLoss = 1 - got/most
			}
			h.LossShare = most - got
			in.Impacts = append(in.Impacts, h)
		}
		if all == 0 || lost == 0 {
			continue
		}
		in.Loss = lost / all
		for i := range in.Impacts {
			in.Impacts[i].LossShare /= lost
		}
		slices.SortFunc(in.Impacts, func(a, b Impact) int {
			return cmp.Or(cmp.Compare(b.LossShare, a.LossShare), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
		})
		s.Incidents = append(s.Incidents, in)
	}
}

func plus(a, b record.ClassStats) record.ClassStats {
	a.OnTime, a.Late, a.Rejected, a.Failed = a.OnTime+b.OnTime, a.Late+b.Late, a.Rejected+b.Rejected, a.Failed+b.Failed
	return a
}
