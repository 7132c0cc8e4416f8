package configlog

import (
	"encoding/json"
	"maps"

	"windflow/internal/decide/configerror"
)

// Log is the replicated configuration log: the document in force with its history, the IDs of the changes that were
// applied, and the followers that are members. The same calls of Apply, AddMember and RemoveMember in the same order
// lead to the same Log at each keeper, and rejected ones change nothing. Values that it returns are shared and must not
// be changed.
type Log struct {
	document document
	history  history
	ids      changeIDs
	members  members
}

// NewLog returns a Log at revision 0, which has no entries.
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

// OldestRevision returns the first revision whose content is retained.
func (l *Log) OldestRevision() uint64 { return l.history.oldest }

// Hash returns the hash of the content in force.
func (l *Log) Hash() Hash { return l.document.hash }

// Size returns the number of entries in force, and the bytes of their pointers and values.
func (l *Log) Size() (entries, bytes int) { return len(l.document.entries), l.document.bytes }

// Entries returns the content in force.
func (l *Log) Entries() map[string]json.RawMessage { return maps.Clone(l.document.entries) }

// EntriesAt returns the content at a revision: an error of kind Compacted for one before OldestRevision, of kind
// Invalid for one that does not exist yet.
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

// History returns at most limit revisions, beginning with from, oldest first; those that are not retained are left out.
func (l *Log) History(from uint64, limit int) []Revision { return l.history.list(from, limit) }

// Preview returns the content that a change would lead to, without applying it. For a change that was applied already
// it is the content in force.
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

// Apply applies a change, or returns why it is rejected; the Log is unchanged then.
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

// AddMember records a follower's process and returns whether it is new. A keeper that is called by a process for
// which HasMember is false proposes it, and answers once it is added. A name or instance that is not valid is not
// added, nor is a name beyond MaxMembers.
func (l *Log) AddMember(name, instance string) bool { return l.members.add(name, instance) }

// HasMember returns whether a process is one of the two latest of its name.
func (l *Log) HasMember(name, instance string) bool { return l.members[name].has(instance) }

// RemoveMember removes a follower that will not return, and returns whether it was a member.
func (l *Log) RemoveMember(name string) bool { return l.members.remove(name) }

// Members returns the names of all followers that were added and not removed, sorted.
func (l *Log) Members() []string { return l.members.names() }
