package incident

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"windflow/internal/record"
)

// fleet plays routers that write records: each has a clock of its own, and all see the same engines.
type fleet struct {
	rng     *rand.Rand
	j       *Joiner
	routers []*clocked
}

type clocked struct {
	head   record.Header
	offset float64
	drift  float64
}

const zero = 1_796_000_000_000.0

func newFleet(seed uint64, offsets, drifts []float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), j: NewJoiner()}
	for i, off := range offsets {
		f.routers = append(f.routers, &clocked{
			head: record.Header{
				Version: 1, Router: fmt.Sprint("n", i), Incarnation: 2,
				ProcessID: fmt.Sprint("p", i),
				Classes: []record.Class{
					{Name: "lookup", PriorityWeight: 1}, {Name: "report", PriorityWeight: 10, LateWeightShare: 0.4},
				},
			},
			offset: off, drift: drifts[i],
		})
	}
	return f
}

// on gives a true time on a router's clock, with what the way of news adds.
func (f *fleet) on(r *clocked, at float64) float64 {
	return zero + at + r.offset + r.drift*at + 2*f.rng.Float64()
}

func (f *fleet) change(at float64, id string, state record.State) {
	for _, r := range f.routers {
		f.j.Add(&r.head, &record.EngineChange{AtMS: f.on(r, at), EngineID: id, State: state})
	}
}

// second has each router serve for a second; hurt is the share of look-ups that are refused.
func (f *fleet) second(at float64, hurt float64, skip int) {
	for i, r := range f.routers {
		if i == skip {
			continue
		}
		n := 80 + f.rng.IntN(10)
		refused := int(hurt * float64(n))
		f.j.Add(&r.head, &record.Interval{AtMS: f.on(r, at), DurationMS: 1000, Classes: []record.ClassStats{
			{Class: "lookup", Tenant: "a", Arrived: n, OnTime: n - refused - n/50, Late: n / 50, Rejected: refused},
			{Class: "report", Tenant: "b", Arrived: 5, OnTime: 5},
		}})
	}
}

// Clocks up to 400 ms apart and drifting are tied together by what their routers saw, within the bound that is told, and no
// two moments that are closer than it are put in an order.
func TestClocksAreTied(t *testing.T) {
	offsets, drifts := []float64{0, 400, -250}, []float64{0, 100e-6, -200e-6}
	f := newFleet(7, offsets, drifts)
	for i := range 20 {
		f.change(float64(3000+6000*i), fmt.Sprintf("s-%08x", i), record.Draining)
		f.second(float64(6000*i), 0, -1)
	}
	s := f.j.Timeline()
	first := s.Processes[0].Clock
	for i, p := range s.Processes {
		if !p.Clock.Measured || p.Clock.UncertaintyMS > 15 {
			t.Errorf("%s: %+v", p.Router, p.Clock)
		}
		for _, at := range []float64{0, 60_000, 117_000} {
			// The reference is one of the three; what counts is that they agree.
			mine := p.Clock.Correct(zero + at + offsets[i] + drifts[i]*at)
			ref := first.Correct(zero + at + offsets[0] + drifts[0]*at)
			if off := math.Abs(mine - ref); off > p.Clock.UncertaintyMS+first.UncertaintyMS {
				t.Errorf("%s at %v: off by %.1f ms, told within %.1f", p.Router, at, off, p.Clock.UncertaintyMS)
			}
		}
	}
}

// A calm run names no incident, and one that has an incident names it, when and for whom; the second of two is its own.
func TestIncidentsAreFound(t *testing.T) {
	for seed := range uint64(20) {
		calm := newFleet(seed, []float64{0, 5}, []float64{0, 0})
		for i := range 120 {
			calm.second(float64(1000*i), 0.01, -1)
		}
		if s := calm.j.Timeline(); len(s.Incidents) != 0 {
			t.Fatalf("seed %d: a calm run has %+v", seed, s.Incidents)
		}
	}
	f := newFleet(3, []float64{0, 120, -80}, []float64{0, 0, 0})
	f.change(500, "s-00000001", record.Normal)
	for i := range 200 {
		hurt := 0.0
		if i >= 60 && i < 75 || i >= 150 && i < 156 {
			hurt = 0.5
		}
		if i == 60 {
			f.change(60_000, "s-00000001", record.Down)
		}
		if i == 75 {
			f.change(75_000, "s-00000001", record.Normal)
		}
		skip := -1
		if i >= 65 && i < 72 {
			skip = 2 // one router's records are missing for half of it
		}
		if i%10 == 5 {
			f.change(float64(1000*i), fmt.Sprintf("s-1%07x", i), record.Gone)
		}
		f.second(float64(1000*i), hurt, skip)
	}
	s := f.j.Timeline()
	if len(s.Incidents) != 2 {
		t.Fatalf("%+v", s.Incidents)
	}
	in := s.Incidents[0]
	if from, to := (in.FromMS-s.FromMS)/1000, (in.ToMS-s.FromMS)/1000; math.Abs(from-59) > 3 || math.Abs(to-75) > 4 {
		t.Errorf("from %.0f s to %.0f s", from, to)
	}
	if h := in.Impacts[0]; h.Class != "lookup" || h.Tenant != "a" || h.LossShare < 0.95 || h.Loss < 0.3 || h.BaselineLoss > 0.05 {
		t.Errorf("%+v", h)
	}
	missing := 0
	for _, m := range s.Gaps {
		if m.Router == "n2" && m.ToMS-m.FromMS > 6000 {
			missing++
		}
	}
	if missing != 1 {
		t.Errorf("missing: %+v", s.Gaps)
	}
	down := 0
	for _, e := range s.Engines {
		for _, span := range e.Spans {
			if e.EngineID == "s-00000001" && span.State == record.Down && span.FromMS < in.ToMS && span.ToMS > in.FromMS {
				down++
			}
		}
	}
	if down != 3 {
		t.Errorf("the engine was down in the eyes of %d routers", down)
	}
}

// Two processes of an upgrade have one router's name, and the newer one may share no mark with anybody.
func TestTwoProcessesOfARouter(t *testing.T) {
	f := newFleet(5, []float64{0, 300}, []float64{0, 0})
	next := &clocked{head: f.routers[1].head, offset: 300}
	next.head.ProcessID, next.head.Incarnation = "p1b", 3
	for i := range 60 {
		if i == 30 {
			f.routers[1] = next
		}
		if i < 25 && i%4 == 0 {
			f.change(float64(1000*i), fmt.Sprintf("s-%08x", i), record.Gone)
		}
		f.second(float64(1000*i), 0, -1)
	}
	s := f.j.Timeline()
	if len(s.Processes) != 3 || s.Processes[2].Router != "n1" || s.Processes[2].Incarnation != 3 {
		t.Fatalf("%+v", s.Processes)
	}
	if c := s.Processes[2].Clock; math.Abs(c.OffsetMS-s.Processes[1].Clock.OffsetMS) > 0.001 || c.UncertaintyMS <= s.Processes[1].Clock.UncertaintyMS {
		t.Errorf("%+v after %+v", c, s.Processes[1].Clock)
	}
	if len(s.Incidents) != 0 {
		t.Errorf("%+v", s.Incidents)
	}
}

func TestNothing(t *testing.T) {
	if s := NewJoiner().Timeline(); len(s.Processes)+len(s.Incidents) != 0 {
		t.Errorf("%+v", s)
	}
}
