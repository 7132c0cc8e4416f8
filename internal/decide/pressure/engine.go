package pressure

import (
	"maps"
	"slices"
)

const (
	// reportLag is how far a report may lie behind, in milliseconds: what was sent that long before it arrived may be
	// missing from it.
	reportLag = 300.0
	// reportLife is how long a report counts, in milliseconds; calmReportLife is how long it shows that the engine is
	// calm, which is no reason to wait.
	reportMaxAge, spareReportMaxAge = 1000.0, 2000.0
	// maxCalmUtilization is the share of cores, disks and memory in use below which an engine counts as calm.
	maxSpareUtilization = 0.8
	// maxWaitingFactor bounds what waiting queries add to an engine's cost factor.
	maxWaitingFactor = 5.0
	// grantFactor is the memory that an engine grants over the estimate, where it chooses itself.
	grantFactor = 1.25
	// maxObservedLocks bounds the groups on which another router's load is remembered.
	maxObservedLocks = 256
	// pagingMemoryShare is the memory share up to which a paging engine takes queries. Grants go by estimates, and
	// queries use what they need of them: no more than the memory is in use at one fifth over.
	pagingMemoryShare = 1.2
)

// Engine is one router's view of one engine. The zero Engine has nothing running and has never reported.
type Engine struct {
	loads         map[int64]int     // this router's running loads, by group
	observedLocks map[int64]float64 // until when other routers' loads lock a group
	report        LoadReport        // the last one
	reportedAt    float64
	reported      bool
	unreported    []sentGrant
}

// sentGrant is the grant of a query that the last report may not contain yet.
type sentGrant struct{ at, mb float64 }

// AttemptStarted counts a query that this router sends to the engine.
func (e *Engine) AttemptStarted(query Query, limits Limits, now float64) {
	if query.LocksTableGroup && query.TableGroup != 0 {
		if e.loads == nil {
			e.loads = map[int64]int{}
		}
		e.loads[query.TableGroup]++
	}
	if mb := limits.memoryGrant(query); mb > 0 {
		e.unreported = append(e.unreported, sentGrant{now, mb})
	}
	// A report that still counts includes older grants.
	counts := func(s sentGrant) bool { return now-s.at <= reportMaxAge+reportLag }
	if i := slices.IndexFunc(e.unreported, counts); i > 0 {
		e.unreported = slices.Delete(e.unreported, 0, i)
	}
}

// AttemptEnded takes off a query that does not run there any more, or that this router no longer waits for.
func (e *Engine) AttemptEnded(query Query) {
	if !query.LocksTableGroup || e.loads[query.TableGroup] == 0 {
		return
	}
	e.loads[query.TableGroup]--
	if e.loads[query.TableGroup] == 0 {
		delete(e.loads, query.TableGroup)
	}
}

// LockObserved records that another router's load blocks a query of a group, and when it is expected to end.
func (e *Engine) LockObserved(group int64, now, until float64) {
	if group == 0 || !(until > now) {
		return
	}
	if len(e.observedLocks) >= maxObservedLocks {
		maps.DeleteFunc(e.observedLocks, func(_ int64, end float64) bool { return end <= now })
		if len(e.observedLocks) >= maxObservedLocks {
			return
		}
	}
	if e.observedLocks == nil {
		e.observedLocks = map[int64]float64{}
	}
	e.observedLocks[group] = until
}

// LoadReported takes the engine's load report.
func (e *Engine) LoadReported(report LoadReport, now float64) {
	e.report, e.reportedAt, e.reported = report.sanitized(), now, true
	e.unreported = slices.DeleteFunc(e.unreported, func(s sentGrant) bool { return s.at < now-reportLag })
}

// Headroom returns what one more query would meet.
func (e *Engine) Headroom(query Query, limits Limits, now float64) (headroom Headroom) {
	if query.TableGroup != 0 && (query.LocksTableGroup || query.BlockedByLoad) {
		headroom.BlockedByLock = e.loads[query.TableGroup] > 0 || e.observedLocks[query.TableGroup] > now
	}
	if limits.MemoryMB > 0 && e.reported && now-e.reportedAt < reportMaxAge && e.report.Memory >= 0 {
		mb := limits.memoryGrant(query)
		for _, sent := range e.unreported {
			mb += sent.mb
		}
		headroom.MemoryShare = e.report.Memory + mb/limits.MemoryMB
	}
	return headroom
}

// HasSpareCapacity reports whether the engine reports spare capacity of all kinds; cores is how many it has.
func (e *Engine) HasSpareCapacity(cores, now float64) bool {
	report := &e.report
	return e.reported && now-e.reportedAt < spareReportMaxAge && (report.Busy >= 0 || report.InFlight >= 0) &&
		report.Waiting < 1 &&
		max(report.Busy, report.Disk, report.Memory, report.InFlight/cores) < maxSpareUtilization
}

// CostFactor is how much worse a choice than an idle engine this one is by its report; 1 without a recent report.
func (e *Engine) CostFactor(cores, now float64) float64 {
	report := &e.report
	if !e.reported || now-e.reportedAt >= reportMaxAge {
		return 1
	}
	factor := 1 + max(report.Busy, 0) + max(report.Disk, 0) + max(report.Memory, 0) +
		min(max(report.Waiting, 0), maxWaitingFactor)
	if report.InFlight >= 0 {
		factor *= 1 + report.InFlight/cores
	}
	return factor
}
