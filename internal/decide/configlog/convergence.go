package configlog

import (
	"cmp"
	"maps"
	"slices"
)

// FollowerProcess is one running process of a follower and what it has in force.
type FollowerProcess struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Hash     Hash   `json:"hash"`
	// Rejected says why it stays at its revision, for processes in ConvergenceStatus.Rejected; nil for others.
	Rejected *Rejection `json:"refused,omitempty"`
}

// ConvergenceStatus says where a revision is in force.
type ConvergenceStatus struct {
	Revision uint64            `json:"revision"`
	InForce  []FollowerProcess `json:"in_force"`
	Behind   []FollowerProcess `json:"behind"`  // running, before the revision
	Rejected []FollowerProcess `json:"refused"` // running, before the revision, which or a later one they rejected
	// Diverged are running, but have content that the log does not have under their revision, or no longer retains:
	// they are ahead of keepers that were restored from an older state, or about to get a snapshot.
	Diverged []FollowerProcess `json:"foreign"`
	// Missing are members without a lease, which ended or can't reach a keeper; they don't count.
	Missing          []string `json:"gone"`
	UnreachedKeepers []string `json:"unreached"` // not polled, or their leases are not complete
	// Converged says that each running process has the revision or a later one in force.
	Converged bool `json:"everywhere"`
}

func newConvergenceStatus(revision uint64, unreached []string) ConvergenceStatus {
	status := ConvergenceStatus{
		Revision: revision,
		// Empty lists, which JSON writes as [] and not as null.
		InForce: []FollowerProcess{}, Behind: []FollowerProcess{}, Rejected: []FollowerProcess{},
		Diverged: []FollowerProcess{}, Missing: []string{}, UnreachedKeepers: []string{},
	}
	status.UnreachedKeepers = append(status.UnreachedKeepers, slices.Sorted(slices.Values(unreached))...)
	return status
}

// add sorts a process into the list where it belongs. hasContent says whether its content is that of its revision in
// the log.
func (s *ConvergenceStatus) add(status FollowerStatus, hasContent bool) {
	process := FollowerProcess{
		Name: status.Name, Instance: status.Instance, Revision: status.Revision, Hash: status.Hash,
	}
	behind := status.Revision < s.Revision
	switch rejected := status.Rejected; {
	case behind && rejected != nil && rejected.Revision >= s.Revision:
		process.Rejected = rejected
		s.Rejected = append(s.Rejected, process)
	case behind:
		s.Behind = append(s.Behind, process)
	case !hasContent:
		s.Diverged = append(s.Diverged, process)
	default:
		s.InForce = append(s.InForce, process)
	}
}

// Convergence returns where a revision is in force, by the leases of all keepers that were reached, as Live returns
// them, and the names of the keepers that were not reached or whose leases are not complete (IsComplete). A process
// counts only if the log has its content under its revision. A revision that does not exist yet is in force nowhere.
// The log has to be that of the leader, or caught up with it.
//
// With an unreached keeper, Converged needs a lease of the latest process of each member: a process without one might
// be running and calling that keeper. A lease of the member's name is not enough, since it may be that of an earlier
// process. What this can't see is a predecessor at an unreached keeper whose successor calls another one, and a
// router that has never been answered.
func (l *Log) Convergence(revision uint64, leases []Lease, unreached []string) ConvergenceStatus {
	status := newConvergenceStatus(revision, unreached)
	leasedNames, leasedProcesses := map[string]bool{}, map[processKey]bool{}
	for _, lease := range latestLeases(leases) {
		leasedNames[lease.Name], leasedProcesses[lease.key()] = true, true
		status.add(lease.FollowerStatus, l.isContentAt(lease.Revision, lease.Hash))
	}
	latestMissing := false
	for _, name := range l.Members() {
		if !leasedProcesses[processKey{name, l.members[name].latest}] {
			latestMissing = true
		}
		if !leasedNames[name] {
			status.Missing = append(status.Missing, name)
		}
	}
	// Without any process the answer is no: an operator would take it that some router has the revision in force.
	status.Converged = len(status.InForce) > 0 &&
		len(status.Behind)+len(status.Rejected)+len(status.Diverged) == 0 &&
		(len(unreached) == 0 || !latestMissing)
	return status
}

// latestLeases returns one lease for each process, by name and instance. A process that went from one keeper to
// another has two for a while: the one with the higher revision is the later, because a follower never goes back.
func latestLeases(leases []Lease) []Lease {
	latest := map[processKey]Lease{}
	for _, lease := range leases {
		other, ok := latest[lease.key()]
		if !ok || cmp.Or(cmp.Compare(lease.Revision, other.Revision), cmp.Compare(lease.UntilMS, other.UntilMS)) > 0 {
			latest[lease.key()] = lease
		}
	}
	return slices.SortedFunc(maps.Values(latest), compareProcesses)
}
