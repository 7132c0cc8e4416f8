package incident

import (
	"cmp"
	"maps"
	"slices"

	"windflow/internal/record"
)

// Joiner collects the records of any number of processes. The records of a process must be added in the order of their
// times; those of different processes may be interleaved. To bound memory, it keeps only the counts of each interval,
// the changes of engines and the gaps.
type Joiner struct {
	processes map[string]*process // by process id
	classes   map[string]record.Class
}

// process holds what the records of one process contain. All times are on its own clock.
type process struct {
	header       record.Header
	sharedEvents map[sharedEvent]float64 // the time at which each was first seen
	changes      []record.EngineChange
	intervals    []interval
	gaps         []record.Gap
	fromMS, toMS float64
}

type classKey struct{ class, tenant string }

// interval has the outcomes of requests in the interval, of about one second, that ends at atMS.
type interval struct {
	atMS    float64
	classes map[classKey]outcomes
}

// outcomes counts requests by how they ended.
type outcomes struct{ onTime, late, rejected, failed int }

func (o outcomes) total() int { return o.onTime + o.late + o.rejected + o.failed }

func (o outcomes) plus(other outcomes) outcomes {
	return outcomes{
		onTime: o.onTime + other.onTime, late: o.late + other.late,
		rejected: o.rejected + other.rejected, failed: o.failed + other.failed,
	}
}

// NewJoiner returns an empty Joiner.
func NewJoiner() *Joiner {
	return &Joiner{processes: map[string]*process{}, classes: map[string]record.Class{}}
}

// Add adds a record. header is that of the segment that contains it.
func (j *Joiner) Add(header *record.Header, next record.Record) {
	owner := j.processes[header.ProcessID]
	if owner == nil {
		owner = j.addProcess(header, next.TimeMS())
	}
	owner.add(next)
}

func (j *Joiner) addProcess(header *record.Header, atMS float64) *process {
	added := &process{header: *header, sharedEvents: map[sharedEvent]float64{}, fromMS: atMS, toMS: atMS}
	j.processes[header.ProcessID] = added
	for _, class := range header.Classes {
		j.classes[class.Name] = class
	}
	return added
}

func (p *process) add(next record.Record) {
	p.fromMS, p.toMS = min(p.fromMS, next.TimeMS()), max(p.toMS, next.TimeMS())
	switch next := next.(type) {
	case *record.EngineChange:
		p.addChange(next)
	case *record.Interval:
		p.addInterval(next)
	case *record.Gap:
		p.gaps = append(p.gaps, *next)
	case *record.Header, *record.RequestFailure, *record.Event:
		// Only their times matter, which are used above.
	}
}

func (p *process) addChange(change *record.EngineChange) {
	if event, ok := sharedEventOf(change); ok {
		if _, known := p.sharedEvents[event]; !known {
			p.sharedEvents[event] = change.AtMS
		}
	}
	p.changes = append(p.changes, *change)
}

func (p *process) addInterval(next *record.Interval) {
	added := interval{atMS: next.AtMS, classes: make(map[classKey]outcomes, len(next.Classes))}
	for _, stats := range next.Classes {
		added.classes[classKey{stats.Class, stats.Tenant}] = outcomes{
			onTime: stats.OnTime, late: stats.Late, rejected: stats.Rejected, failed: stats.Failed,
		}
	}
	p.intervals = append(p.intervals, added)
}

// sortedProcesses returns the processes sorted by router, and those of a router by start.
func (j *Joiner) sortedProcesses() []*process {
	return slices.SortedFunc(maps.Values(j.processes), func(a, b *process) int {
		return cmp.Or(
			cmp.Compare(a.header.Router, b.header.Router),
			cmp.Compare(a.fromMS, b.fromMS),
			cmp.Compare(a.header.ProcessID, b.header.ProcessID),
		)
	})
}
