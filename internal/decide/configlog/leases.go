package configlog

import (
	"cmp"
	"maps"
	"slices"
)

// Lease is the latest status of a follower process, and until when the process counts as running, in milliseconds of
// the clock of the keeper that it called.
type Lease struct {
	FollowerStatus
	UntilMS float64 `json:"until_ms"`
}

// processKey identifies a process: a name has two while a successor takes over from its predecessor.
type processKey struct{ name, instance string }

func (l Lease) key() processKey { return processKey{l.Name, l.Instance} }

// compareProcesses orders leases by name and instance.
func compareProcesses(a, b Lease) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
}

// Leases are the leases of the followers that call one keeper. They are not replicated and are lost with the keeper,
// so Convergence may rely on them only once they are complete; see IsComplete. All times are milliseconds of one
// monotonic clock.
type Leases struct {
	lengthMS       float64
	byProcess      map[processKey]Lease
	started        bool
	lastCallMS     float64
	completeFromMS float64 // from then on, each running process that uses this keeper has called
}

// NewLeases returns leases of that length in milliseconds.
func NewLeases(lengthMS float64) *Leases {
	return &Leases{lengthMS: lengthMS, byProcess: map[processKey]Lease{}}
}

// Renew takes a follower's status and returns whether its process had no lease: then it has to become a member of the
// log before it is answered.
func (l *Leases) Renew(nowMS float64, status FollowerStatus) (first bool) {
	l.Tick(nowMS)
	lease := Lease{FollowerStatus: status, UntilMS: nowMS + l.lengthMS}
	before, known := l.byProcess[lease.key()]
	l.byProcess[lease.key()] = lease
	return !known || before.UntilMS <= nowMS
}

// Live returns the leases that have not ended, by name and instance, and forgets the others.
func (l *Leases) Live(nowMS float64) []Lease {
	l.Tick(nowMS)
	maps.DeleteFunc(l.byProcess, func(_ processKey, lease Lease) bool { return lease.UntilMS <= nowMS })
	live := slices.AppendSeq(make([]Lease, 0, len(l.byProcess)), maps.Values(l.byProcess))
	slices.SortFunc(live, compareProcesses)
	return live
}

// Tick records that the keeper runs. Some method has to be called each quarter of a lease; after a gap of more than a
// half the keeper is taken to have been suspended, so that leases have ended without fault of the followers.
func (l *Leases) Tick(nowMS float64) {
	if !l.started || nowMS-l.lastCallMS > l.lengthMS/2 {
		l.started, l.completeFromMS = true, nowMS+l.lengthMS
	}
	l.lastCallMS = max(l.lastCallMS, nowMS)
}

// IsComplete returns whether each running follower that uses this keeper has had the time to call. Until then
// Convergence has to count the keeper as unreached, so that one that has just started or resumed does not make a
// revision converged.
func (l *Leases) IsComplete(nowMS float64) bool {
	l.Tick(nowMS)
	return nowMS >= l.completeFromMS
}
