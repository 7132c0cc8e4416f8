package configlog

import (
	"encoding/json"
	"maps"
)

// broken are variants that each break a property.
var broken = []struct {
	name, property string
	breaks         func(*variant)
}{
	{"applies a delta onto whatever it has", noMix, func(v *variant) {
		v.follower = func(f *Follower) client { return wrongBase{f} }
	}},
	{"takes half of an update", noMix, func(v *variant) {
		v.follower = func(f *Follower) client { return half{f} }
	}},
	{"takes a copy that isn't what was saved", noMix, func(v *variant) {
		v.follower = func(f *Follower) client { return trusting{f} }
	}},
	{"takes an older whole", noneBack, func(v *variant) {
		v.follower = func(f *Follower) client { return goesBack{f} }
	}},
	{"forgets what it refused", noLoop, func(v *variant) {
		v.follower = func(f *Follower) client { return forgetful{f} }
	}},
	{"never asks for the whole", allMeet, func(v *variant) {
		v.follower = func(f *Follower) client { return stubborn{f} }
	}},
	{"log without a memory of IDs", onceOnly, func(v *variant) {
		v.apply = func(l *Log, c Change) Result {
			delete(l.ids.applied, c.ID)
			return l.Apply(c)
		}
	}},
	{"log that doesn't compare before it sets", onceOnly, func(v *variant) {
		v.apply = func(l *Log, c Change) Result {
			if c.Expect = nil; l.ids.applied[c.ID] != (appliedChange{}) {
				return Result{Repeated: true}
			}
			return l.Apply(c)
		}
	}},
	{"judge that ignores unreached keepers", notFalse, func(v *variant) {
		v.judge = func(l *Log, rev uint64, heard []Lease, _ []string) ConvergenceStatus {
			return l.Convergence(rev, heard, nil)
		}
	}},
	{"judge that goes by names alone", notFalse, func(v *variant) {
		v.judge = func(l *Log, rev uint64, heard []Lease, unreached []string) ConvergenceStatus {
			verdict := l.Convergence(rev, heard, nil)
			verdict.Converged = verdict.Converged && (len(unreached) == 0 || len(verdict.Missing) == 0)
			return verdict
		}
	}},
	{"judge that ignores who is behind", notFalse, func(v *variant) {
		v.judge = func(l *Log, rev uint64, heard []Lease, unreached []string) ConvergenceStatus {
			verdict := l.Convergence(rev, heard, unreached)
			verdict.Converged = len(verdict.InForce) > 0
			return verdict
		}
	}},
	{"judge that counts who is gone", allMeet, func(v *variant) {
		v.judge = func(l *Log, rev uint64, heard []Lease, unreached []string) ConvergenceStatus {
			verdict := l.Convergence(rev, heard, unreached)
			verdict.Converged = verdict.Converged && len(verdict.Missing) == 0
			return verdict
		}
	}},
	{"keeper that is reached before its leases are whole", notFalse, func(v *variant) {
		v.settled = func(*Leases, float64) bool { return true }
	}},
}

// take offers a content by force.
func (f *Follower) take(rev uint64, entries map[string]json.RawMessage) (map[string]json.RawMessage, bool, error) {
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
	return f.take(u.To, entries)
}

type half struct{ *Follower }

func (f half) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	entries, ok, err := f.Follower.Offer(u)
	if ok && !u.Snapshot && len(u.Remove) > 0 {
		next := maps.Clone(entries)
		for _, p := range u.Remove {
			next[p] = f.current.entries[p]
		}
		return f.take(u.To, next)
	}
	return entries, ok, err
}

type trusting struct{ *Follower }

func (f trusting) Restore(s SavedRevision) (map[string]json.RawMessage, bool, error) {
	if s.Revision == 0 {
		return nil, false, nil
	}
	return f.take(s.Revision, s.Entries)
}

type goesBack struct{ *Follower }

func (f goesBack) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if f.candidate == nil && u.Snapshot && u.To < f.current.revision {
		return f.take(u.To, u.Put)
	}
	return f.Follower.Offer(u)
}

type forgetful struct{ *Follower }

func (f forgetful) Reject(pointer, reason string) {
	f.Follower.Reject(pointer, reason)
	f.ClearRejections()
}

// stubborn holds on to the hash of a content that it doesn't have, and takes no whole.
type stubborn struct{ *Follower }

func (f stubborn) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	if u.Snapshot && f.current.revision > 0 {
		return nil, false, ErrStale
	}
	return f.Follower.Offer(u)
}
