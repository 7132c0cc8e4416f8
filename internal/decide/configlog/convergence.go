package configlog

import (
	"cmp"
	"maps"
	"slices"
)

// FollowerProcess is one living process of a follower and what it holds.
type FollowerProcess struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Hash     Hash   `json:"hash"`
	// Refused says why it doesn't go on, for seats in Verdict.Refused; nil for others.
	Rejected *Rejection `json:"refused,omitempty"`
}

// ConvergenceStatus says where a revision is in force.
type ConvergenceStatus struct {
	Revision uint64            `json:"revision"`
	InForce  []FollowerProcess `json:"in_force"`
	Behind   []FollowerProcess `json:"behind"`  // alive, before the revision
	Rejected []FollowerProcess `json:"refused"` // alive, before the revision, which or a later one they refused
	// Foreign are alive, but hold what these keepers didn't give under that number, or no longer know: followers ahead of
	// keepers that were restored from an older state, or about to get the whole. It can't be known that the revision is in it.
	Diverged         []FollowerProcess `json:"foreign"`
	Missing          []string          `json:"gone"`      // in the roster without a lease: gone or cut off, named and never counted
	UnreachedKeepers []string          `json:"unreached"` // keepers that weren't asked or whose leases aren't whole
	// Everywhere says that each living process holds the revision or a later one.
	Converged bool `json:"everywhere"`
}

// Convergence says where a revision is in force, by the leases of all keepers that were reached, as Live gives them, and the names of
// those that weren't or that haven't Settled. Only content that the log has under a follower's revision counts, and of a
// revision that isn't there yet, nothing is in force. The log has to be that of a leader, or caught up with it.
//
// With a keeper unreached, Everywhere needs the latest process of each name in the roster to be heard elsewhere: one that
// isn't might be living there. That the name alone is heard isn't enough, since the lease may be that of a former life. What
// this can't see is the elder process at an unreached keeper while its successor is heard elsewhere, and a router that has
// never been answered.
func (l *Log) Convergence(rev uint64, heard []Lease, unreached []string) ConvergenceStatus {
	v := ConvergenceStatus{
		Revision: rev, InForce: []FollowerProcess{}, Behind: []FollowerProcess{}, Rejected: []FollowerProcess{}, Diverged: []FollowerProcess{}, Missing: []string{},
		UnreachedKeepers: slices.Sorted(slices.Values(unreached)),
	}
	if v.UnreachedKeepers == nil {
		v.UnreachedKeepers = []string{}
	}
	names, seats := map[string]bool{}, map[seat]bool{}
	for _, lease := range latest(heard) {
		names[lease.Name], seats[seat{lease.Name, lease.Instance}] = true, true
		s := FollowerProcess{Name: lease.Name, Instance: lease.Instance, Revision: lease.Revision, Hash: lease.Hash}
		switch f := lease.Rejected; {
		case lease.Revision < rev && f != nil && f.Revision >= rev:
			s.Rejected = f
			v.Rejected = append(v.Rejected, s)
		case lease.Revision < rev:
			v.Behind = append(v.Behind, s)
		case !l.gave(lease.FollowerStatus):
			v.Diverged = append(v.Diverged, s)
		default:
			v.InForce = append(v.InForce, s)
		}
	}
	missing := false
	for _, name := range l.Members() {
		missing = missing || !seats[seat{name, l.roster[name][0]}]
		if !names[name] {
			v.Missing = append(v.Missing, name)
		}
	}
	// Nobody at all is not everywhere: it would tell an operator that something is in force that no router has.
	v.Converged = len(v.InForce) > 0 && len(v.Behind)+len(v.Rejected)+len(v.Diverged) == 0 &&
		(len(unreached) == 0 || !missing)
	return v
}

// gave says whether what a follower holds is what the log has under that revision. Of one that is compacted it can't be said.
func (l *Log) gave(r FollowerStatus) bool {
	h, kept := l.hashAt(r.Revision)
	return kept && h == r.Hash
}

// latest gives one lease for each process, by name and instance. One that went from a keeper to another has two for a while:
// the higher revision is the later word, because a follower never goes back.
func latest(heard []Lease) []Lease {
	best := map[seat]Lease{}
	for _, lease := range heard {
		key := seat{lease.Name, lease.Instance}
		if old, ok := best[key]; !ok || cmp.Or(cmp.Compare(lease.Revision, old.Revision), cmp.Compare(lease.UntilMS, old.UntilMS)) > 0 {
			best[key] = lease
		}
	}
	return slices.SortedFunc(maps.Values(best), func(a, b Lease) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
	})
}
