package configlog

import (
	"encoding/json"
	"maps"
)

// mutants each break a property.
var mutants = []struct {
	name, property string
	breaks         func(*parts)
}{
	{"applies a delta onto whatever it has", propertyNoMix, func(v *parts) {
		v.follower = func(f *Follower) client { return wrongBase{f} }
	}},
	{"takes half of an update", propertyNoMix, func(v *parts) {
		v.follower = func(f *Follower) client { return partialUpdate{f} }
	}},
	{"takes a copy that isn't what was saved", propertyNoMix, func(v *parts) {
		v.follower = func(f *Follower) client { return uncheckedRestore{f} }
	}},
	{"accepts an older snapshot", propertyNeverBack, func(v *parts) {
		v.follower = func(f *Follower) client { return goingBack{f} }
	}},
	{"forgets what it rejected", propertyNoRepeatedRejection, func(v *parts) {
		v.follower = func(f *Follower) client { return forgetful{f} }
	}},
	{"never requests a snapshot", propertyEventualConvergence, func(v *parts) {
		v.follower = func(f *Follower) client { return stubborn{f} }
	}},
	{"log without a memory of IDs", propertyAppliedOnce, func(v *parts) {
		v.apply = func(l *Log, c Change) Result {
			delete(l.ids.applied, c.ID)
			return l.Apply(c)
		}
	}},
	{"log that doesn't compare before it sets", propertyAppliedOnce, func(v *parts) {
		v.apply = func(l *Log, c Change) Result {
			if c.Expect = nil; l.ids.applied[c.ID] != (appliedChange{}) {
				return Result{Repeated: true}
			}
			return l.Apply(c)
		}
	}},
	{"convergence that ignores unreached keepers", propertyNoFalseConvergence, func(v *parts) {
		v.convergence = func(l *Log, rev uint64, leases []Lease, _ []string) ConvergenceStatus {
			return l.Convergence(rev, leases, nil)
		}
	}},
	{"convergence by names alone", propertyNoFalseConvergence, func(v *parts) {
		v.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, nil)
			status.Converged = status.Converged && (len(unreached) == 0 || len(status.Missing) == 0)
			return status
		}
	}},
	{"convergence that ignores who is behind", propertyNoFalseConvergence, func(v *parts) {
		v.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, unreached)
			status.Converged = len(status.InForce) > 0
			return status
		}
	}},
	{"convergence that counts missing members", propertyEventualConvergence, func(v *parts) {
		v.convergence = func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			status := l.Convergence(rev, leases, unreached)
			status.Converged = status.Converged && len(status.Missing) == 0
			return status
		}
	}},
	{"keeper that is reached before its leases are complete", propertyNoFalseConvergence, func(v *parts) {
		v.isComplete = func(*Leases, float64) bool { return true }
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

type wrongBase struct{ *Follower }

func (f wrongBase) Offer(u Update) (map[string]json.RawMessage, bool, error) {
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

type partialUpdate struct{ *Follower }

func (f partialUpdate) Offer(u Update) (map[string]json.RawMessage, bool, error) {
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

type uncheckedRestore struct{ *Follower }

func (f uncheckedRestore) Restore(s SavedRevision) (map[string]json.RawMessage, bool, error) {
	if s.Revision == 0 {
		return nil, false, nil
	}
	return f.forceCandidate(s.Revision, s.Entries)
}

type goingBack struct{ *Follower }

func (f goingBack) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if f.candidate == nil && u.Snapshot && u.To < f.current.revision {
		return f.forceCandidate(u.To, u.Put)
	}
	return f.Follower.Offer(u)
}

type forgetful struct{ *Follower }

func (f forgetful) Reject(pointer, reason string) {
	f.Follower.Reject(pointer, reason)
	f.ClearRejections()
}

// stubborn ignores snapshots.
type stubborn struct{ *Follower }

func (f stubborn) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if u.Snapshot && f.current.revision > 0 {
		return nil, false, ErrStale
	}
	return f.Follower.Offer(u)
}
