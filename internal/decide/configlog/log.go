package configlog

import (
	"encoding/json"
	"maps"

	"windflow/internal/decide/configerror"
)

// Log is a replica of the configuration log: the document in force, its history, the IDs of the latest changes and the
// members. The same calls of Apply, AddMember and RemoveMember in the same order lead to the same Log on each keeper;
// rejected calls change nothing. The values that its methods return are shared and must not be modified.
type Log struct {
	document document
	history  history
	ids      changeIDs
	members  members
}

// NewLog returns an empty Log at revision 0.
func NewLog(retention Retention) *Log {
	return &Log{
		document: newDocument(),
		history:  history{retention: retention.orDefault()},
		ids:      changeIDs{applied: map[string]appliedChange{}},
		members:  members{},
	}
}

// Revision returns the revision in force; 0 before the first change.
func (l *Log) Revision() uint64 { return l.history.latest() }

// OldestRevision returns the earliest revision whose content is retained.
func (l *Log) OldestRevision() uint64 { return l.history.oldest }

// Hash returns the hash of the content in force.
func (l *Log) Hash() Hash { return l.document.hash }

// Size returns the number of entries in force and the total size of their pointers and values in bytes.
func (l *Log) Size() (entries, bytes int) { return len(l.document.entries), l.document.bytes }

// Entries returns the content in force.
func (l *Log) Entries() map[string]json.RawMessage { return maps.Clone(l.document.entries) }

// EntriesAt returns the content at a revision. It returns an error of kind Compacted for a revision before
// OldestRevision, and of kind Invalid for one that does not exist yet.
func (l *Log) EntriesAt(revision uint64) (map[string]json.RawMessage, *configerror.Error) {
	if rejected := l.history.checkRetained(revision); rejected != nil {
		return nil, rejected
	}
	entries := l.Entries()
	for pointer, value := range l.history.valuesAt(revision) {
		setEntry(entries, pointer, value)
	}
	return entries, nil
}

// History returns at most limit revisions starting at from, oldest first. Revisions that are not retained are left out.
func (l *Log) History(from uint64, limit int) []Revision { return l.history.list(from, limit) }

// Preview returns the content that a change would lead to, without applying it. For a change that was already applied,
// this is the content in force.
func (l *Log) Preview(change Change) (map[string]json.RawMessage, *configerror.Error) {
	plan, rejected := l.plan(change)
	if rejected != nil {
		return nil, rejected
	}
	entries := l.Entries()
	for _, e := range plan.edits {
		setEntry(entries, e.pointer, e.after)
	}
	return entries, nil
}

// Apply applies a change. If the change is rejected, Result.Err is the reason and the Log is unchanged.
func (l *Log) Apply(change Change) Result {
	plan, rejected := l.plan(change)
	switch {
	case rejected != nil:
		return Result{Revision: l.Revision(), Err: rejected}
	case plan.repeated:
		return Result{Revision: plan.revision, Repeated: true}
	}
	for _, e := range plan.edits {
		l.document.put(e.pointer, e.after)
	}
	r := record{id: change.ID, note: change.Note, atMS: change.AtMS, hash: l.document.hash, edits: plan.edits}
	if change.RevertTo != nil {
		revertTo := *change.RevertTo
		r.revertTo = &revertTo
	}
	l.history.add(r)
	l.ids.add(change.ID, appliedChange{revision: l.Revision(), digest: plan.digest})
	l.history.compact()
	return Result{Revision: l.Revision()}
}

// AddMember adds a follower's process and reports whether it was added. A keeper that is called by a process for which
// HasMember returns false proposes this call to the log and answers once it is applied. Invalid names and instances,
// processes that are already recorded, and new names beyond MaxMembers are not added.
func (l *Log) AddMember(name, instance string) bool { return l.members.add(name, instance) }

// HasMember reports whether a process is one of the two recorded processes of the member with this name.
func (l *Log) HasMember(name, instance string) bool { return l.members[name].has(instance) }

// RemoveMember removes a follower that will not return, and reports whether it was a member.
func (l *Log) RemoveMember(name string) bool { return l.members.remove(name) }

// Members returns the sorted names of all followers that were added and not removed.
func (l *Log) Members() []string { return l.members.names() }
