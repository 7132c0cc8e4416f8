package incident

import (
	"cmp"
	"math"
	"slices"

	"windflow/internal/record"
)

// maxSilenceMS is the longest time between two intervals of a process that does not count as a gap.
const maxSilenceMS = 2500.0

// Timeline has what the records of all processes show. All times are in milliseconds on the clock of the reference
// process.
type Timeline struct {
	FromMS, ToMS float64
	Processes    []Process
	Engines      []EngineHistory
	Incidents    []Incident
	Gaps         []Gap
	Loss         []float64 // per second, share of value lost, from 0 to 1; NaN if no request ended
	BaselineLoss float64   // usual value of Loss
}

// Process is a process of a router. A hot restart gives a router a second one.
type Process struct {
	Router       string
	Incarnation  uint64
	ProcessID    string
	FromMS, ToMS float64
	Clock        Clock
	Intervals    int // number of Interval records that it wrote
}

// Gap is a time range for which records of a router are missing.
type Gap struct {
	Router       string
	FromMS, ToMS float64
	Dropped      int // number of records dropped; 0 if the router wrote nothing
}

// EngineHistory has the states of an engine as all routers saw them.
type EngineHistory struct {
	EngineID string
	Spans    []Span // sorted by router and time
}

// Span is a time range in which an engine had one state in the view of one router.
type Span struct {
	Router             string
	FromMS, ToMS       float64
	UncertaintyMS      float64 // of FromMS and ToMS
	State              record.State
	Slowness           float64
	FailureRate        float64
	ConnectionFailures int
}

// Timeline joins the records added so far into a timeline. It is empty if there are none.
func (j *Joiner) Timeline() *Timeline {
	processes := j.sortedProcesses()
	if len(processes) == 0 {
		return &Timeline{}
	}
	clocks := synchronizeClocks(processes)
	timeline := &Timeline{FromMS: math.Inf(1), ToMS: math.Inf(-1)}
	for i, process := range processes {
		timeline.addProcess(process, clocks[i])
	}
	slices.SortFunc(timeline.Gaps, func(a, b Gap) int { return cmp.Compare(a.FromMS, b.FromMS) })
	timeline.Engines = engineHistories(processes, clocks, timeline.ToMS)
	timeline.addIncidents(newOutcomeSeries(j.classes, processes, clocks, timeline.FromMS, timeline.ToMS))
	return timeline
}

func (t *Timeline) addProcess(added *process, clock Clock) {
	fromMS, toMS := clock.Correct(added.fromMS), clock.Correct(added.toMS)
	t.FromMS, t.ToMS = min(t.FromMS, fromMS), max(t.ToMS, toMS)
	t.Processes = append(t.Processes, Process{
		Router: added.header.Router, Incarnation: added.header.Incarnation, ProcessID: added.header.ProcessID,
		FromMS: fromMS, ToMS: toMS, Clock: clock, Intervals: len(added.intervals),
	})
	for _, gap := range added.gaps {
		t.addGap(added, clock, gap.FromMS, gap.AtMS, gap.Dropped)
	}
	for i := 1; i < len(added.intervals); i++ {
		previous, next := added.intervals[i-1].atMS, added.intervals[i].atMS
		if next-previous > maxSilenceMS {
			t.addGap(added, clock, previous, next, 0)
		}
	}
}

func (t *Timeline) addGap(of *process, clock Clock, fromMS, toMS float64, dropped int) {
	t.Gaps = append(t.Gaps, Gap{
		Router: of.header.Router, FromMS: clock.Correct(fromMS), ToMS: clock.Correct(toMS), Dropped: dropped,
	})
}
