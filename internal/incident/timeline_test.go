package incident

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"windflow/internal/record"
)

// simulatedFleet simulates routers that write records. Each has its own clock; all see the same engines.
type simulatedFleet struct {
	rng     *rand.Rand
	joiner  *Joiner
	routers []*testRouter
}

type testRouter struct {
	header   record.Header
	offsetMS float64
	drift    float64
}

const epochMS = 1_796_000_000_000.0

func newFleet(seed uint64, offsets, drifts []float64) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 1)), joiner: NewJoiner()}
	for i, offsetMS := range offsets {
		f.routers = append(f.routers, &testRouter{
			header: record.Header{
				Version: 1, Router: fmt.Sprint("n", i), Incarnation: 2,
				ProcessID: fmt.Sprint("p", i),
				Classes: []record.Class{
					{Name: "lookup", PriorityWeight: 1}, {Name: "report", PriorityWeight: 10, LateWeightShare: 0.4},
				},
			},
			offsetMS: offsetMS, drift: drifts[i],
		})
	}
	return f
}

// routerTimeMS returns the time on a router's clock at which it sees an event of the true time at, in milliseconds
// after epochMS. It adds a random delay of up to 2 ms.
func (f *simulatedFleet) routerTimeMS(r *testRouter, at float64) float64 {
	return epochMS + at + r.offsetMS + r.drift*at + 2*f.rng.Float64()
}

func (f *simulatedFleet) addEngineChange(at float64, id string, state record.State) {
	for _, r := range f.routers {
		f.joiner.Add(&r.header, &record.EngineChange{AtMS: f.routerTimeMS(r, at), EngineID: id, State: state})
	}
}

// addSecond adds an interval of one second for each router, except the one with the index skip (-1 for none).
// rejectedShare is the share of lookups that are rejected.
func (f *simulatedFleet) addSecond(at float64, rejectedShare float64, skip int) {
	for i, r := range f.routers {
		if i == skip {
			continue
		}
		n := 80 + f.rng.IntN(10)
		rejected := int(rejectedShare * float64(n))
		f.joiner.Add(&r.header, &record.Interval{
			AtMS: f.routerTimeMS(r, at), DurationMS: 1000, Classes: []record.ClassStats{
				{Class: "lookup", Tenant: "a", Arrived: n, OnTime: n - rejected - n/50, Late: n / 50, Rejected: rejected},
				{Class: "report", Tenant: "b", Arrived: 5, OnTime: 5},
			},
		})
	}
}

// Clocks that drift and have offsets up to 400 ms are synchronized by the events that the routers share. The remaining
// error must be within the reported uncertainty.
func TestClocksAreSynchronized(t *testing.T) {
	offsets, drifts := []float64{0, 400, -250}, []float64{0, 100e-6, -200e-6}
	f := newFleet(7, offsets, drifts)
	for i := range 20 {
		f.addEngineChange(float64(3000+6000*i), fmt.Sprintf("s-%08x", i), record.Draining)
		f.addSecond(float64(6000*i), 0, -1)
	}
	timeline := f.joiner.Timeline()
	first := timeline.Processes[0].Clock
	for i, p := range timeline.Processes {
		if !p.Clock.Measured || p.Clock.UncertaintyMS > 15 {
			t.Errorf("%s: clock %+v, want a measured one with an uncertainty of at most 15 ms", p.Router, p.Clock)
		}
		for _, at := range []float64{0, 60_000, 117_000} {
			// The reference may be any of the three, so the corrected times are compared with each other.
			corrected := p.Clock.Correct(epochMS + at + offsets[i] + drifts[i]*at)
			reference := first.Correct(epochMS + at + offsets[0] + drifts[0]*at)
			if difference := math.Abs(corrected - reference); difference > p.Clock.UncertaintyMS+first.UncertaintyMS {
				t.Errorf("%s at %v: error of %.1f ms, reported uncertainty %.1f ms",
					p.Router, at, difference, p.Clock.UncertaintyMS)
			}
		}
	}
}

// Guards against false incidents: a steady run in which about 1% of the lookups are late must not yield one.
func TestRunWithoutLossesHasNoIncident(t *testing.T) {
	for seed := range uint64(20) {
		fleet := newFleet(seed, []float64{0, 5}, []float64{0, 0})
		for i := range 120 {
			fleet.addSecond(float64(1000*i), 0.01, -1)
		}
		if timeline := fleet.joiner.Timeline(); len(timeline.Incidents) != 0 {
			t.Fatalf("seed %d: run without unusual losses has incidents: %+v", seed, timeline.Incidents)
		}
	}
}

// addTwoIncidents adds 200 seconds of records. Half of the lookups are rejected from second 60 to 75, while an engine
// is down, and from second 150 to 156. Router n2 writes no records from second 65 to 72.
func addTwoIncidents(f *simulatedFleet) {
	f.addEngineChange(500, "s-00000001", record.Normal)
	for i := range 200 {
		rejected := 0.0
		if i >= 60 && i < 75 || i >= 150 && i < 156 {
			rejected = 0.5
		}
		if i == 60 {
			f.addEngineChange(60_000, "s-00000001", record.Down)
		}
		if i == 75 {
			f.addEngineChange(75_000, "s-00000001", record.Normal)
		}
		skip := -1
		if i >= 65 && i < 72 {
			skip = 2
		}
		if i%10 == 5 {
			f.addEngineChange(float64(1000*i), fmt.Sprintf("s-1%07x", i), record.Gone)
		}
		f.addSecond(float64(1000*i), rejected, skip)
	}
}

// Both incidents must be found. The first must have the right time, the affected class and tenant, the engine that was
// down, and the gap in the records of one router.
func TestIncidentsAreFound(t *testing.T) {
	f := newFleet(3, []float64{0, 120, -80}, []float64{0, 0, 0})
	addTwoIncidents(f)
	timeline := f.joiner.Timeline()
	if len(timeline.Incidents) != 2 {
		t.Fatalf("incidents %+v, want 2", timeline.Incidents)
	}
	first := timeline.Incidents[0]
	from, to := (first.FromMS-timeline.FromMS)/1000, (first.ToMS-timeline.FromMS)/1000
	if math.Abs(from-59) > 3 || math.Abs(to-75) > 4 {
		t.Errorf("first incident from %.0f s to %.0f s, want 59 s to 75 s", from, to)
	}
	worst := first.Impacts[0]
	if worst.Class != "lookup" || worst.Tenant != "a" {
		t.Errorf("first impact %+v, want lookups of tenant a", worst)
	}
	if worst.LossShare < 0.95 || worst.Loss < 0.3 || worst.BaselineLoss > 0.05 {
		t.Errorf("first impact %+v, want LossShare 0.95 or more, Loss 0.3 or more, BaselineLoss 0.05 or less", worst)
	}
	if gaps := countGaps(timeline, "n2", 6000); gaps != 1 {
		t.Errorf("gaps %+v, want one of n2 longer than 6 s", timeline.Gaps)
	}
	if down := countDownSpans(timeline, "s-00000001", first); down != 3 {
		t.Errorf("the engine was down for %d routers, want 3", down)
	}
}

// countGaps returns the number of gaps of a router that are longer than leastMS.
func countGaps(timeline *Timeline, router string, leastMS float64) (gaps int) {
	for _, gap := range timeline.Gaps {
		if gap.Router == router && gap.ToMS-gap.FromMS > leastMS {
			gaps++
		}
	}
	return gaps
}

// countDownSpans returns the number of spans in an incident in which an engine was down.
func countDownSpans(timeline *Timeline, engineID string, in Incident) (spans int) {
	for _, engine := range timeline.Engines {
		for _, span := range engine.Spans {
			overlaps := span.FromMS < in.ToMS && span.ToMS > in.FromMS
			if engine.EngineID == engineID && span.State == record.Down && overlaps {
				spans++
			}
		}
	}
	return spans
}

// After a hot restart, the successor may share no event with any other process. It must then get the clock of its
// predecessor, which has the same router name, with a larger uncertainty.
func TestSuccessorWithoutSharedEventsUsesPredecessorClock(t *testing.T) {
	f := newFleet(5, []float64{0, 300}, []float64{0, 0})
	successor := &testRouter{header: f.routers[1].header, offsetMS: 300}
	successor.header.ProcessID, successor.header.Incarnation = "p1b", 3
	for i := range 60 {
		if i == 30 {
			f.routers[1] = successor
		}
		if i < 25 && i%4 == 0 {
			f.addEngineChange(float64(1000*i), fmt.Sprintf("s-%08x", i), record.Gone)
		}
		f.addSecond(float64(1000*i), 0, -1)
	}
	timeline := f.joiner.Timeline()
	if len(timeline.Processes) != 3 || timeline.Processes[2].Router != "n1" || timeline.Processes[2].Incarnation != 3 {
		t.Fatalf("processes %+v, want 3, the last one the successor of n1", timeline.Processes)
	}
	before, after := timeline.Processes[1].Clock, timeline.Processes[2].Clock
	if math.Abs(after.OffsetMS-before.OffsetMS) > 0.001 || after.UncertaintyMS <= before.UncertaintyMS {
		t.Errorf("clock of the successor %+v, want the offset of %+v with a larger uncertainty", after, before)
	}
	if len(timeline.Incidents) != 0 {
		t.Errorf("incidents %+v, want none", timeline.Incidents)
	}
}

func TestTimelineWithoutRecords(t *testing.T) {
	if timeline := NewJoiner().Timeline(); len(timeline.Processes)+len(timeline.Incidents) != 0 {
		t.Errorf("timeline %+v, want no processes and incidents", timeline)
	}
}
