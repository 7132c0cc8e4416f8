package configlog

import (
	"encoding/json"
	"maps"
	"slices"
)

// Update brings a follower from revision From to To. With Snapshot, Put is the complete content of To; otherwise Put
// and Remove are the difference. Hash is that of the complete content of To. KeeperBehind says that the keeper is at
// To, which is before the follower's From, and has nothing for it.
type Update struct {
	From         uint64                     `json:"from"`
	To           uint64                     `json:"to"`
	Snapshot     bool                       `json:"snapshot"`
	KeeperBehind bool                       `json:"behind"`
	Put          map[string]json.RawMessage `json:"put,omitempty"`
	Remove       []string                   `json:"remove,omitempty"`
	Hash         Hash                       `json:"hash"`
}

// IsEmpty returns whether the update has nothing new for the follower that it is for.
func (u Update) IsEmpty() bool { return u.From == u.To && !u.Snapshot && !u.KeeperBehind }

// UpdateSince returns what a follower needs that has this revision with this hash: nothing, the difference, or a
// snapshot, whichever has fewer bytes. A follower whose content is not that of its revision here, or whose revision
// is not retained, gets a snapshot; one that is ahead of this keeper gets KeeperBehind.
func (l *Log) UpdateSince(revision uint64, hash Hash) Update {
	current := l.Revision()
	update := Update{From: revision, To: current, Hash: l.document.hash}
	if revision > current {
		update.KeeperBehind = true
		return update
	}
	if l.isContentAt(revision, hash) && l.fillDelta(&update) {
		return update
	}
	update.Snapshot, update.Put = true, l.Entries()
	return update
}

// NextUpdate returns what the follower with this status needs: as UpdateSince, but nothing while the revision in
// force is the one that it rejected, since the follower would reject it again.
func (l *Log) NextUpdate(status FollowerStatus) Update {
	r := status.Rejected
	if r != nil && r.Revision == l.Revision() && r.Hash == l.document.hash && status.Revision <= r.Revision {
		return Update{From: status.Revision, To: status.Revision, Hash: status.Hash}
	}
	return l.UpdateSince(status.Revision, status.Hash)
}

// isContentAt returns whether a hash is that of a retained revision.
func (l *Log) isContentAt(revision uint64, hash Hash) bool {
	retained, ok := l.history.hashAt(revision)
	return ok && retained == hash
}

// fillDelta adds the difference to the content of update.From, which has to be retained. It returns false, and adds
// nothing, if the difference has no fewer bytes than a snapshot.
func (l *Log) fillDelta(update *Update) bool {
	before, ok := l.changedSince(update.From)
	if !ok {
		return false
	}
	for _, pointer := range slices.Sorted(maps.Keys(before)) {
		switch value := l.document.entries[pointer]; {
		case equalValues(value, before[pointer]):
		case value == nil:
			update.Remove = append(update.Remove, pointer)
		default:
			if update.Put == nil {
				update.Put = map[string]json.RawMessage{}
			}
			update.Put[pointer] = value
		}
	}
	return true
}

// changedSince returns the values at a revision of the entries that were changed after it; nil for no entry. ok is
// false if their present values have no fewer bytes than the document.
func (l *Log) changedSince(revision uint64) (before map[string]json.RawMessage, ok bool) {
	before = map[string]json.RawMessage{}
	size := 0
	for _, r := range l.history.since(revision) {
		for _, e := range r.edits {
			if _, seen := before[e.pointer]; seen {
				continue // the first edit has the value at the revision
			}
			before[e.pointer] = e.before
			value := l.document.entries[e.pointer]
			if equalValues(value, e.before) {
				continue
			}
			if size += len(e.pointer) + len(value); size >= l.document.bytes {
				return nil, false
			}
		}
	}
	return before, true
}
