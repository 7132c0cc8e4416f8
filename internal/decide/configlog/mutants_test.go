package configlog

import (
	"encoding/json"
	"maps"
)

// mutants are faulty variants of the package. Each violates the named property.
var mutants = []struct {
	name, property string
	breaks         func(*implementation)
}{
	{"follower applies a delta to any revision", propertyNoMixedRevisions, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return appliesToAnyRevision{f} }
	}},
	{"follower ignores the removals of a delta", propertyNoMixedRevisions, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return ignoresRemovals{f} }
	}},
	{"follower restores a damaged copy", propertyNoMixedRevisions, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return restoresUnchecked{f} }
	}},
	{"follower accepts an older snapshot", propertyRevisionNeverDecreases, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return acceptsOlderSnapshot{f} }
	}},
	{"follower forgets rejections", propertyNoRepeatedRejection, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return forgetsRejections{f} }
	}},
	{"follower ignores snapshots", propertyEventualConvergence, func(impl *implementation) {
		impl.follower = func(f *Follower) client { return ignoresSnapshots{f} }
	}},
	{"log does not remember change IDs", propertyAppliedOnce, func(impl *implementation) {
		impl.apply = func(l *Log, c Change) Result {
			delete(l.ids.applied, c.ID)
			return l.Apply(c)
		}
	}},
	{"log ignores the expected revision and reuse of IDs", propertyAppliedOnce, func(impl *implementation) {
		impl.apply = func(l *Log, c Change) Result {
			if c.Expect = nil; l.ids.applied[c.ID] != (appliedChange{}) {
				return Result{Repeated: true}
			}
			return l.Apply(c)
		}
	}},
	{"convergence ignores unreached keepers", propertyNoFalseConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, _ []string) ConvergenceStatus {
			return l.Convergence(rev, leases, nil)
		}
	}},
	{"convergence ignores instances", propertyNoFalseConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, nil)
			status.Converged = status.Converged && (len(unreached) == 0 || len(status.Missing) == 0)
			return status
		}
	}},
	{"convergence ignores processes that are behind", propertyNoFalseConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, unreached)
			status.Converged = len(status.InForce) > 0
			return status
		}
	}},
	{"missing members prevent convergence", propertyEventualConvergence, func(impl *implementation) {
		impl.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, unreached)
			status.Converged = status.Converged && len(status.Missing) == 0
			return status
		}
	}},
	{"incomplete leases count as complete", propertyNoFalseConvergence, func(impl *implementation) {
		impl.isComplete = func(*Leases, float64) bool { return true }
	}},
}

// forceCandidate makes the entries the candidate without any check.
func (f *Follower) forceCandidate(
	rev uint64,
	entries map[string]json.RawMessage,
) (map[string]json.RawMessage, bool, error) {
	f.candidate = &content{revision: rev, hash: HashEntries(entries), entries: entries}
	return entries, true, nil
}

// appliesToAnyRevision applies deltas without checking the revision or the hash.
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

// ignoresRemovals keeps the entries that a delta removes.
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

// restoresUnchecked restores saved copies without checking the hash or the checksum.
type restoresUnchecked struct{ *Follower }

func (f restoresUnchecked) Restore(s SavedRevision) (map[string]json.RawMessage, bool, error) {
	if s.Revision == 0 {
		return nil, false, nil
	}
	return f.forceCandidate(s.Revision, s.Entries)
}

// acceptsOlderSnapshot accepts a snapshot of an earlier revision.
type acceptsOlderSnapshot struct{ *Follower }

func (f acceptsOlderSnapshot) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if f.candidate == nil && u.Snapshot && u.To < f.current.revision {
		return f.forceCandidate(u.To, u.Put)
	}
	return f.Follower.Offer(u)
}

// forgetsRejections clears rejections at once.
type forgetsRejections struct{ *Follower }

func (f forgetsRejections) Reject(pointer, reason string) {
	f.Follower.Reject(pointer, reason)
	f.ClearRejections()
}

// ignoresSnapshots returns ErrStale for a snapshot after revision 0.
type ignoresSnapshots struct{ *Follower }

func (f ignoresSnapshots) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if u.Snapshot && f.current.revision > 0 {
		return nil, false, ErrStale
	}
	return f.Follower.Offer(u)
}
