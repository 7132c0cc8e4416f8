package configlog

import (
	"cmp"
	"maps"
	"slices"
)

// FollowerProcess is a running process of a follower with the revision that it has in force.
type FollowerProcess struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Hash     Hash   `json:"hash"`
	// Rejected is the rejection that keeps the process at its revision; nil except in ConvergenceStatus.Rejected.
	Rejected *Rejection `json:"refused,omitempty"`
}

// ConvergenceStatus reports which follower processes have a revision in force.
type ConvergenceStatus struct {
	Revision uint64 `json:"revision"`
	// InForce holds running processes with this or a later revision.
	InForce []FollowerProcess `json:"in_force"`
	// Behind holds running processes with an earlier revision.
	Behind []FollowerProcess `json:"behind"`
	// Rejected holds running processes with an earlier revision that rejected this revision or a later one.
	Rejected []FollowerProcess `json:"refused"`
	// Diverged holds running processes with this or a later revision whose content differs from that of their revision
	// in the log, or whose revision the log does not retain. They are either ahead of keepers that were restored from
	// an older state, or about to receive a snapshot.
	Diverged []FollowerProcess `json:"foreign"`
	// Missing names the members without a lease. They have ended or can't reach a keeper, and do not prevent
	// convergence.
	Missing []string `json:"gone"`
	// UnreachedKeepers names the keepers that were not reached or whose leases are not complete.
	UnreachedKeepers []string `json:"unreached"`
	// Converged means that each running process has this revision or a later one in force.
	Converged bool `json:"everywhere"`
}

func newConvergenceStatus(revision uint64, unreached []string) ConvergenceStatus {
	status := ConvergenceStatus{
		Revision: revision,
		// Empty slices are encoded as [] in JSON, nil ones as null.
		InForce: []FollowerProcess{}, Behind: []FollowerProcess{}, Rejected: []FollowerProcess{},
		Diverged: []FollowerProcess{}, Missing: []string{}, UnreachedKeepers: []string{},
	}
	status.UnreachedKeepers = append(status.UnreachedKeepers, slices.Sorted(slices.Values(unreached))...)
	return status
}

// add appends a process to the list that matches its status. hasContent reports whether the process has the content
// that the log has for its revision.
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

// Convergence reports which follower processes have a revision in force. leases holds the leases that Leases.Live
// returned on all keepers that were reached; unreached names the keepers that were not reached or whose leases are not
// complete (Leases.IsComplete). A process counts as in force only if the log has its content under its revision. A
// revision that does not exist yet is in force nowhere. The log must be the leader's or caught up with it.
//
// If a keeper is unreached, Converged requires a lease of the latest process of each member, because a process without
// a lease might be running and calling that keeper. A lease with the member's name alone is not enough: it may be the
// lease of an earlier process. Two cases are not detected: a predecessor that calls an unreached keeper while its
// successor calls another one, and a router that no keeper has ever answered.
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
	// Without any process the revision has not converged: operators would conclude that some router has it in force.
	status.Converged = len(status.InForce) > 0 &&
		len(status.Behind)+len(status.Rejected)+len(status.Diverged) == 0 &&
		(len(unreached) == 0 || !latestMissing)
	return status
}

// latestLeases returns one lease for each process, ordered by name and instance. A process that switched from one
// keeper to another has two leases until the first expires. The one with the higher revision is the later one, because
// the revision of a process never decreases.
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
