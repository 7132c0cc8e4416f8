package configlog

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// UpdateSince gives what a follower needs that holds this revision with this hash: nothing, what differs, or the whole, whichever
// has fewer bytes. It gives the whole to one whose content isn't that of its revision here, or whose revision is no longer
// kept, and Behind to one that is ahead of this keeper.
func (l *Log) UpdateSince(rev uint64, h Hash) Update {
	now := l.Revision()
	u := Update{From: rev, To: now, Hash: l.hash}
	if rev > now {
		u.KeeperBehind = true
		return u
	}
	if here, ok := l.hashAt(rev); ok && here == h {
		if rev == now || l.delta(&u) {
			return u
		}
	}
	u.Snapshot, u.Put, u.Remove = true, l.Entries(), nil
	return u
}

// NextUpdate gives what the author of a report needs: as Since, but nothing while the revision in force is the one that it refused
// and still stands at what it has: asking again wouldn't change its mind.
func (l *Log) NextUpdate(r FollowerStatus) Update {
	if f := r.Rejected; f != nil && f.Revision == l.Revision() && f.Hash == l.hash && r.Revision <= f.Revision {
		return Update{From: r.Revision, To: r.Revision, Hash: r.Hash}
	}
	return l.UpdateSince(r.Revision, r.Hash)
}

// delta fills in what differs from u.From; false if that has no fewer bytes than the whole.
func (l *Log) delta(u *Update) bool {
	was := map[string]json.RawMessage{}
	cost := 0
	for _, r := range l.records[u.From-l.oldest:] {
		for _, e := range r.edits {
			if _, ok := was[e.pointer]; ok {
				continue
			}
			// Only the first touch after From says what was there at From; what is sent is the value of now.
			was[e.pointer] = e.was
			now := l.entries[e.pointer]
			if (now == nil) == (e.was == nil) && bytes.Equal(now, e.was) {
				continue
			}
			if cost += len(e.pointer) + len(now); cost >= l.size {
				return false
			}
		}
	}
	for _, p := range slices.Sorted(maps.Keys(was)) {
		switch now := l.entries[p]; {
		case now == nil && was[p] != nil:
			u.Remove = append(u.Remove, p)
		case now != nil && !bytes.Equal(now, was[p]):
			if u.Put == nil {
				u.Put = map[string]json.RawMessage{}
			}
			u.Put[p] = now
		}
	}
	return true
}
