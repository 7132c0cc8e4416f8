package configlog

import (
	"encoding/json"
	"maps"
	"slices"
)

// Update brings a follower from revision From to revision To. If Snapshot is set, Put is the complete content of To;
// otherwise Put and Remove are the difference between the two revisions. Hash is the hash of the complete content of
// To. If KeeperBehind is set, the keeper is at revision To, which is before the follower's revision From, and the
// update has no content.
type Update struct {
	From         uint64                     `json:"from"`
	To           uint64                     `json:"to"`
	Snapshot     bool                       `json:"snapshot"`
	KeeperBehind bool                       `json:"behind"`
	Put          map[string]json.RawMessage `json:"put,omitempty"`
	Remove       []string                   `json:"remove,omitempty"`
	Hash         Hash                       `json:"hash"`
}

// IsEmpty reports whether the update leaves the follower at its revision.
func (u Update) IsEmpty() bool { return u.From == u.To && !u.Snapshot && !u.KeeperBehind }

// UpdateSince returns the update to the revision in force for a follower that has a revision with the given hash. It is
// empty, a difference or a snapshot; of the latter two, the one with fewer bytes. The follower gets a snapshot if its
// hash is not that of its revision in this log or if its revision is not retained, and KeeperBehind if its revision is
// later than the one in force here.
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

// NextUpdate returns the update for a follower with this status. It is that of UpdateSince, but empty while the
// follower has rejected the revision in force, since it would reject it again.
func (l *Log) NextUpdate(status FollowerStatus) Update {
	r := status.Rejected
	if r != nil && r.Revision == l.Revision() && r.Hash == l.document.hash && status.Revision <= r.Revision {
		return Update{From: status.Revision, To: status.Revision, Hash: status.Hash}
	}
	return l.UpdateSince(status.Revision, status.Hash)
}

// isContentAt reports whether a revision is retained and its content has this hash.
func (l *Log) isContentAt(revision uint64, hash Hash) bool {
	retained, ok := l.history.hashAt(revision)
	return ok && retained == hash
}

// fillDelta adds the difference from update.From, which must be retained, to the update. If the difference has at least
// as many bytes as a snapshot, it adds nothing and returns false.
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

// changedSince returns the values that the entries changed after a revision had at that revision; nil means that there
// was no entry. ok is false if the entries that now have another value have at least as many bytes, counting their
// pointers and current values, as the document.
func (l *Log) changedSince(revision uint64) (before map[string]json.RawMessage, ok bool) {
	before = map[string]json.RawMessage{}
	size := 0
	for _, r := range l.history.since(revision) {
		for _, e := range r.edits {
			if _, seen := before[e.pointer]; seen {
				continue // only the first edit has the value at the revision
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
