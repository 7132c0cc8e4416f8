// Package pressure reckons how hard pressed an engine is, from what the settings say that it has, what it says of itself,
// late, and what this router has running there: what one more query would cost there, and whether it would stand still.
// Demand reckons for the whole fleet how many engines should load a table group, and how many read it.
//
// Each router knows its own queries at once and the others' only by the engine's reports, so that every answer is a
// guess that a report corrects. There is no clock in here, and no chance: times are handed in, in milliseconds on any
// clock that does not go back.
package pressure

import (
	"math"
	"slices"
)

// MemoryShortage is what an engine does when the memory that it grants passes what it has.
type MemoryShortage int

// Forms of shortage. A query that waits, or gets what is left, hurts itself; where all are let in, it hurts all.
const (
	ShortageWait   MemoryShortage = iota // the query waits in the engine's line
	ShortageShrink                       // it gets what is left, and spills
	ShortagePage                         // it is let in, and all slow down
)

// Limits are what the settings say of an engine. A figure of 0 is not known.
type Limits struct {
	MemoryMB      float64
	MaxGrantShare float64 // share of the memory that one query gets at most
	Shortage      MemoryShortage
}

// Query is what is known of a query ahead of its run.
type Query struct {
	NeedMB          float64 // by estimate; 0 if unknown
	TableGroup      int64   // of tables; 0 for none
	LocksTableGroup bool    // it holds its group while it runs
	BlockedByLoad   bool    // it stands still while a load holds its group
}

// LoadReport is what an engine says of itself; a figure below 0 is unknown.
type LoadReport struct {
	InFlight float64 // queries that it holds
	Waiting  float64 // those of them that wait for memory
	Busy     float64 // share of its cores in use
	Disk     float64 // share of its disks in use
	Memory   float64 // share of its memory that is granted
}

// sound takes figures that are no numbers for unknown.
func (r LoadReport) sound() LoadReport {
	for _, v := range []*float64{&r.InFlight, &r.Waiting, &r.Busy, &r.Disk, &r.Memory} {
		if math.IsNaN(*v) || math.IsInf(*v, 0) {
			*v = -1
		}
	}
	return r
}

// Headroom is what one more query would meet.
type Headroom struct {
	MemoryShare   float64 // share of the memory granted with it; 0 where that is not known
	BlockedByLock bool    // a load holds its group
}

const (
	// lag is how far a report may lie behind, in milliseconds: it was refreshed that long before it was told. What
	// was sent in that time may be missing from it.
	lag = 300.0
	// fresh is how long a report tells of an engine, in milliseconds; calmFor is how long it tells that the engine is calm,
	// which is no reason to hold back.
	fresh, calmFor = 1000.0, 2000.0
	// calmAt is the share of cores, disks and memory in use below which an engine counts as calm.
	calmAt = 0.8
	// waitMost bounds what those that wait add to an engine's weight.
	waitMost = 5.0
	// generous is what an engine grants over an estimate that it is told, where it chooses itself.
	generous = 1.25
	// noticedMost bounds the groups of which another router's load was noticed.
	noticedMost = 256
)

// sent is an own query of which the last report may not tell yet.
type sent struct{ at, mb float64 }

// Engine is one router's view of one engine. The zero Engine has nothing running and never reported.
type Engine struct {
	loads   map[int64]int     // own ones under way, by group
	noticed map[int64]float64 // until when others' loads hold a group
	report  LoadReport        // the last
	at      float64           // when it came
	told    bool              // whether one did
	since   []sent
}

// AttemptStarted notes an own query that goes to the engine.
func (e *Engine) AttemptStarted(q Query, t Limits, now float64) {
	if q.LocksTableGroup && q.TableGroup != 0 {
		if e.loads == nil {
			e.loads = map[int64]int{}
		}
		e.loads[q.TableGroup]++
	}
	if mb := t.grant(q); mb > 0 {
		e.since = append(e.since, sent{now, mb})
	}
	if i := slices.IndexFunc(e.since, func(s sent) bool { return now-s.at <= fresh+lag }); i > 0 {
		e.since = slices.Delete(e.since, 0, i) // no report that still counts lacks these
	}
}

// AttemptEnded notes that an own query runs there no more, or is not waited for any longer.
func (e *Engine) AttemptEnded(q Query) {
	if q.LocksTableGroup && e.loads[q.TableGroup] > 0 {
		if e.loads[q.TableGroup]--; e.loads[q.TableGroup] == 0 {
			delete(e.loads, q.TableGroup)
		}
	}
}

// LockObserved notes that a query stands behind another router's load on that group, which is guessed to last until then.
func (e *Engine) LockObserved(group int64, now, until float64) {
	if group == 0 || !(until > now) {
		return
	}
	if len(e.noticed) >= noticedMost {
		for g, till := range e.noticed {
			if till <= now {
				delete(e.noticed, g)
			}
		}
		if len(e.noticed) >= noticedMost {
			return
		}
	}
	if e.noticed == nil {
		e.noticed = map[int64]float64{}
	}
	e.noticed[group] = until
}

// LoadReported notes what the engine says of itself.
func (e *Engine) LoadReported(r LoadReport, now float64) {
	e.report, e.at, e.told = r.sound(), now, true
	e.since = slices.DeleteFunc(e.since, func(s sent) bool { return s.at < now-lag })
}

// Headroom reckons what one more query would meet.
func (e *Engine) Headroom(q Query, t Limits, now float64) (m Headroom) {
	if q.TableGroup != 0 && (q.LocksTableGroup || q.BlockedByLoad) {
		m.BlockedByLock = e.loads[q.TableGroup] > 0 || e.noticed[q.TableGroup] > now
	}
	if t.MemoryMB > 0 && e.told && now-e.at < fresh && e.report.Memory >= 0 {
		mb := t.grant(q)
		for _, s := range e.since {
			mb += s.mb
		}
		m.MemoryShare = e.report.Memory + mb/t.MemoryMB
	}
	return m
}

// Calm tells whether the engine says that it has room of everything; cores are those it has.
func (e *Engine) Calm(cores, now float64) bool {
	r := e.report
	return e.told && now-e.at < calmFor && (r.Busy >= 0 || r.InFlight >= 0) && r.Waiting < 1 &&
		max(r.Busy, r.Disk, r.Memory, r.InFlight/cores) < calmAt
}

// CostFactor is by how much its report makes the engine a worse choice than an idle one, 1 where it tells nothing.
func (e *Engine) CostFactor(cores, now float64) float64 {
	r := e.report
	if !e.told || now-e.at >= fresh {
		return 1
	}
	w := 1 + max(r.Busy, 0) + max(r.Disk, 0) + max(r.Memory, 0) + min(max(r.Waiting, 0), waitMost)
	if r.InFlight >= 0 {
		w *= 1 + r.InFlight/cores
	}
	return w
}

// grant is the memory that the engine will give a query, where it chooses itself.
func (t Limits) grant(q Query) float64 {
	if !(q.NeedMB > 0) {
		return 0
	}
	mb := q.NeedMB * generous
	if most := t.MemoryMB * t.MaxGrantShare; most > 0 {
		mb = min(mb, most)
	}
	return mb
}

// MaxMemoryShare is the share of its memory up to which an engine takes further queries. Where a shortage hurts only the query
// that meets it there is no bound here. Grants go by estimates and queries use what they need of them, so that a little
// over the whole is in use no earlier than when reports say a fifth more.
func (t Limits) MaxMemoryShare() float64 {
	if t.Shortage == ShortagePage {
		return 1.2
	}
	return math.Inf(1)
}
