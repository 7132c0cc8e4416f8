package configlog

import (
	"cmp"
	"maps"
	"slices"
)

// Lease is the latest status of a follower process. The process counts as running until UntilMS, in milliseconds on the
// clock of the keeper that it called.
type Lease struct {
	FollowerStatus
	UntilMS float64 `json:"until_ms"`
}

// processKey identifies a process. During a hot restart there are two processes with the same name.
type processKey struct{ name, instance string }

func (l Lease) key() processKey { return processKey{l.Name, l.Instance} }

// compareProcesses orders leases by name and instance.
func compareProcesses(a, b Lease) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
}

// Leases holds the leases of the followers that call one keeper. They are not replicated and are lost when the keeper
// ends, so Convergence can rely on them only once they are complete; see IsComplete. All times are in milliseconds on
// one monotonic clock.
type Leases struct {
	lengthMS       float64
	byProcess      map[processKey]Lease
	started        bool    // Tick has been called
	lastCallMS     float64 // time of the latest call of any method
	completeFromMS float64 // by then each running process that uses this keeper has called it
}

// NewLeases returns an empty set of leases that last lengthMS milliseconds from each renewal.
func NewLeases(lengthMS float64) *Leases {
	return &Leases{lengthMS: lengthMS, byProcess: map[processKey]Lease{}}
}

// Renew renews the lease of the process that sent the status. first is true if the process had no lease; the keeper
// must then ensure that it is a member of the log before it answers.
func (l *Leases) Renew(nowMS float64, status FollowerStatus) (first bool) {
	l.Tick(nowMS)
	lease := Lease{FollowerStatus: status, UntilMS: nowMS + l.lengthMS}
	before, known := l.byProcess[lease.key()]
	l.byProcess[lease.key()] = lease
	return !known || before.UntilMS <= nowMS
}

// Live returns the leases that have not expired, ordered by name and instance, and deletes the expired ones.
func (l *Leases) Live(nowMS float64) []Lease {
	l.Tick(nowMS)
	maps.DeleteFunc(l.byProcess, func(_ processKey, lease Lease) bool { return lease.UntilMS <= nowMS })
	live := slices.AppendSeq(make([]Lease, 0, len(l.byProcess)), maps.Values(l.byProcess))
	slices.SortFunc(live, compareProcesses)
	return live
}

// Tick records that the keeper is running. Tick or another method must be called every quarter of a lease. After a gap
// of more than half a lease the keeper is assumed to have been suspended, so that leases may have expired although
// their followers are running; the leases are then incomplete for the length of a lease.
func (l *Leases) Tick(nowMS float64) {
	if !l.started || nowMS-l.lastCallMS > l.lengthMS/2 {
		l.started, l.completeFromMS = true, nowMS+l.lengthMS
	}
	l.lastCallMS = max(l.lastCallMS, nowMS)
}

// IsComplete reports whether each running follower that uses this keeper has had enough time to call it. Until then the
// caller of Convergence must count the keeper as unreached: a keeper that has just started or resumed lacks the leases
// of running followers, so a revision could wrongly be reported as converged.
func (l *Leases) IsComplete(nowMS float64) bool {
	l.Tick(nowMS)
	return nowMS >= l.completeFromMS
}
