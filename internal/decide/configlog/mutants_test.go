package configlog

import (
	"encoding/json"
	"maps"
)

// mutants each break a property.
var mutants = []struct {
	name, property string
	breaks         func(*implementation)
}{
	{"applies a delta onto whatever it has", propertyNoMixedRevisions, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return appliesToAnyRevision{f} }
	}},
	{"takes half of an update", propertyNoMixedRevisions, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return ignoresRemovals{f} }
	}},
	{"takes a copy that isn't what was saved", propertyNoMixedRevisions, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return restoresUnchecked{f} }
	}},
	{"accepts an older snapshot", propertyRevisionNeverDecreases, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return acceptsOlderSnapshot{f} }
	}},
	{"forgets what it rejected", propertyNoRepeatedRejection, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return forgetsRejections{f} }
	}},
	{"never requests a snapshot", propertyEventualConvergence, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return ignoresSnapshots{f} }
	}},
	{"log without a memory of IDs", propertyAppliedOnce, func(impl *implementation) {
		impl.apply = func(l *Log, c Change) Result {
			delete(l.ids.applied, c.ID)
			return l.Apply(c)
		}
	}},
	{"log that doesn't compare before it sets", propertyAppliedOnce, func(impl *implementation) {
		impl.apply = func(l *Log, c Change) Result {
			if c.Expect = nil; l.ids.applied[c.ID] != (appliedChange{}) {
				return Result{Repeated: true}
			}
			return l.Apply(c)
		}
	}},
	{"convergence that ignores unreached keepers", propertyNoFalseConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, _ []string) ConvergenceStatus {
			return l.Convergence(rev, leases, nil)
		}
	}},
	{"convergence by names alone", propertyNoFalseConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, nil)
			status.Converged = status.Converged && (len(unreached) == 0 || len(status.Missing) == 0)
			return status
		}
	}},
	{"convergence that ignores who is behind", propertyNoFalseConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, unreached)
			status.Converged = len(status.InForce) > 0
			return status
		}
	}},
	{"convergence that counts missing members", propertyEventualConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, unreached)
			status.Converged = status.Converged && len(status.Missing) == 0
			return status
		}
	}},
	{"keeper that is reached before its leases are complete", propertyNoFalseConvergence, func(impl *implementation) {
		impl.isComplete = func(*Leases, float64) bool { return true }
	}},
}

// forceCandidate makes a content the candidate, whatever the follower has.
func (f *Follower) forceCandidate(
	rev uint64,
	entries map[string]json.RawMessage,
) (map[string]json.RawMessage, bool, error) {
	f.candidate = &content{revision: rev, hash: HashEntries(entries), entries: entries}
	return entries, true, nil
}

type appliesToAnyRevision struct{ *Follower }

func (f appliesToAnyRevision) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if f.candidate != nil || u.Snapshot || u.KeeperBehind || u.To <= f.current.revision {
		return f.Follower.Offer(u)
	}
	entries := maps.Clone(f.current.entries)
	for _, p := range u.Remove {
		delete(entries, p)
	}
	maps.Copy(entries, u.Put)
	return f.forceCandidate(u.To, entries)
}

type ignoresRemovals struct{ *Follower }

func (f ignoresRemovals) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	entries, ok, err := f.Follower.Offer(u)
	if ok && !u.Snapshot && len(u.Remove) > 0 {
		next := maps.Clone(entries)
		for _, p := range u.Remove {
			next[p] = f.current.entries[p]
		}
		return f.forceCandidate(u.To, next)
	}
	return entries, ok, err
}

type restoresUnchecked struct{ *Follower }

func (f restoresUnchecked) Restore(s SavedRevision) (map[string]json.RawMessage, bool, error) {
	if s.Revision == 0 {
		return nil, false, nil
	}
	return f.forceCandidate(s.Revision, s.Entries)
}

type acceptsOlderSnapshot struct{ *Follower }

func (f acceptsOlderSnapshot) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if f.candidate == nil && u.Snapshot && u.To < f.current.revision {
		return f.forceCandidate(u.To, u.Put)
	}
	return f.Follower.Offer(u)
}

type forgetsRejections struct{ *Follower }

func (f forgetsRejections) Reject(pointer, reason string) {
	f.Follower.Reject(pointer, reason)
	f.ClearRejections()
}

// ignoresSnapshots ignores snapshots.
type ignoresSnapshots struct{ *Follower }

func (f ignoresSnapshots) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if u.Snapshot && f.current.revision > 0 {
		return nil, false, ErrStale
	}
	return f.Follower.Offer(u)
}
