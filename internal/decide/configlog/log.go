package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"windflow/internal/decide/configerror"
)

// Retention bound how much of the past a Log keeps for deltas, history and reverts. All keepers need the same, because they
// decide what a revert gets; a state that was read brings its own. Zero stands for the figures of DefaultTerms.
type Retention struct {
	Revisions int `json:"revisions"` // changes that are kept
	Bytes     int `json:"bytes"`     // bytes that these may take, by reckoning; the newest is always kept
}

// DefaultRetention keep a day and more at 1,500 changes a day.
var DefaultRetention = Retention{Revisions: 2_000, Bytes: 8 << 20}

// recordBytes is what a record costs beside its texts, about.
const recordBytes = 200

// edit is one entry that a revision changed. nil stands for no entry, so that a record can be played in both directions.
type edit struct {
	pointer  string
	was, now json.RawMessage
}

// record is one revision: what it changed, and the hash of the whole after it.
type record struct {
	id, note string
	atMS     int64
	revertTo *uint64
	hash     Hash
	edits    []edit // sorted by pointer
}

func (r *record) bytes() int {
	n := recordBytes + len(r.id) + len(r.note)
	for _, e := range r.edits {
		n += len(e.pointer) + len(e.was) + len(e.now)
	}
	return n
}

// made is what is remembered of a change by its ID.
type made struct {
	revision uint64
	sum      Hash // of what the change said
}

// Log is the replicated document with its past. The same calls of Apply, Join and Forget in the same order give the same
// Log at each keeper, and refused ones change nothing. Values that it gives out are shared and mustn't be written to.
type Log struct {
	terms   Retention
	entries map[string]json.RawMessage
	inner   map[string]int // entries below each path that is above one, to find prefixes
	size    int            // bytes of the entries' pointers and values
	hash    Hash
	oldest  uint64 // the revision before records[0]
	before  Hash   // the hash at oldest
	records []record
	kept    int // bytes of records
	ids     map[string]made
	idOrder []string             // as made, oldest first
	roster  map[string][2]string // two instances of each name, the latest first
}

// NewLog gives a Log at revision 0, with no entries.
func NewLog(t Retention) *Log {
	if t.Revisions <= 0 {
		t.Revisions = DefaultRetention.Revisions
	}
	if t.Bytes <= 0 {
		t.Bytes = DefaultRetention.Bytes
	}
	return &Log{
		terms: t, entries: map[string]json.RawMessage{}, inner: map[string]int{}, ids: map[string]made{},
		roster: map[string][2]string{},
	}
}

// Revision is the one in force; 0 before the first change.
func (l *Log) Revision() uint64 { return l.oldest + uint64(len(l.records)) }

// OldestRevision is the first revision whose content is kept.
func (l *Log) OldestRevision() uint64 { return l.oldest }

// Hash is that of the content in force.
func (l *Log) Hash() Hash { return l.hash }

// Size gives the entries in force, and the bytes of their pointers and values.
func (l *Log) Size() (entries, bytes int) { return len(l.entries), l.size }

// Entries gives the content in force.
func (l *Log) Entries() map[string]json.RawMessage { return maps.Clone(l.entries) }

// EntriesAt gives the content at a revision: FaultCompacted for one before Oldest, FaultInvalid for one that isn't there yet.
func (l *Log) EntriesAt(rev uint64) (map[string]json.RawMessage, *configerror.Error) {
	if f := l.keeps(rev); f != nil {
		return nil, f
	}
	content := l.Entries()
	for p, v := range l.former(rev) {
		set(content, p, v)
	}
	return content, nil
}

// History gives at most that many revisions from one on, oldest first; those that are no longer kept are left out.
func (l *Log) History(from uint64, most int) []Revision {
	first := max(from, l.oldest+1)
	out := []Revision{}
	for rev := first; rev <= l.Revision() && len(out) < most; rev++ {
		r := &l.records[rev-l.oldest-1]
		h := Revision{Revision: rev, ID: r.id, Note: r.note, AtMS: r.atMS, RevertTo: r.revertTo, Hash: r.hash}
		for _, e := range r.edits {
			if e.now == nil {
				h.Remove = append(h.Remove, e.pointer)
				continue
			}
			if h.Put == nil {
				h.Put = map[string]json.RawMessage{}
			}
			h.Put[e.pointer] = e.now
		}
		out = append(out, h)
	}
	return out
}

// Preview gives the content that a change would give, and makes none. A change that was made already gives the content in
// force.
func (l *Log) Preview(c Change) (map[string]json.RawMessage, *configerror.Error) {
	p, fault := l.plan(c)
	if fault != nil {
		return nil, fault
	}
	content := l.Entries()
	for _, e := range p.edits {
		set(content, e.pointer, e.now)
	}
	return content, nil
}

// Apply makes a change, or says why not: then nothing differs from before.
func (l *Log) Apply(c Change) Result {
	p, fault := l.plan(c)
	switch {
	case fault != nil:
		return Result{Revision: l.Revision(), Err: fault}
	case p.made != nil:
		return Result{Revision: p.made.revision, Repeated: true}
	}
	for _, e := range p.edits {
		l.put(e.pointer, e.now)
	}
	r := record{id: c.ID, note: c.Note, atMS: c.AtMS, hash: l.hash, edits: p.edits}
	if c.RevertTo != nil {
		to := *c.RevertTo
		r.revertTo = &to
	}
	l.records = append(l.records, r)
	l.kept += r.bytes()
	l.remember(c.ID, made{revision: l.Revision(), sum: p.sum})
	l.compact()
	return Result{Revision: l.Revision()}
}

// keeps says why the content at a revision can't be given.
func (l *Log) keeps(rev uint64) *configerror.Error {
	switch {
	case rev < l.oldest:
		return &configerror.Error{
			Kind: configerror.Compacted, Revision: l.oldest,
			Reason: fmt.Sprintf("revision %d is no longer kept, the oldest is %d", rev, l.oldest),
		}
	case rev > l.Revision():
		return &configerror.Error{
			Kind: configerror.Invalid, Revision: l.Revision(),
			Reason: fmt.Sprintf("there is no revision %d yet, the latest is %d", rev, l.Revision()),
		}
	}
	return nil
}

// former gives what was at a kept revision in the places that were touched since; nil for no entry.
func (l *Log) former(rev uint64) map[string]json.RawMessage {
	was := map[string]json.RawMessage{}
	for i := len(l.records) - 1; i >= int(rev-l.oldest); i-- {
		for _, e := range l.records[i].edits {
			was[e.pointer] = e.was
		}
	}
	return was
}

// hashAt gives the hash at a kept revision, and whether it is kept.
func (l *Log) hashAt(rev uint64) (Hash, bool) {
	switch {
	case rev < l.oldest || rev > l.Revision():
		return Hash{}, false
	case rev == l.oldest:
		return l.before, true
	}
	return l.records[rev-l.oldest-1].hash, true
}

// put sets an entry in force, or takes it out, and keeps what is reckoned from the entries.
func (l *Log) put(pointer string, v json.RawMessage) {
	if was, ok := l.entries[pointer]; ok {
		l.hash = l.hash.minus(digest(pointer, was))
		l.size -= len(pointer) + len(was)
		l.count(pointer, -1)
	}
	set(l.entries, pointer, v)
	if v != nil {
		l.hash = l.hash.plus(digest(pointer, v))
		l.size += len(pointer) + len(v)
		l.count(pointer, 1)
	}
}

func (l *Log) count(pointer string, by int) {
	for a := range above(pointer) {
		if l.inner[a] += by; l.inner[a] == 0 {
			delete(l.inner, a)
		}
	}
}

// remember keeps an ID, and forgets the oldest beyond the bound.
func (l *Log) remember(id string, m made) {
	l.ids[id] = m
	l.idOrder = append(l.idOrder, id)
	if over := len(l.idOrder) - MaxRememberedIDs; over > 0 {
		for _, old := range l.idOrder[:over] {
			delete(l.ids, old)
		}
		l.idOrder = slices.Delete(l.idOrder, 0, over)
	}
}

// compact drops the oldest records beyond the terms, but never the newest.
func (l *Log) compact() {
	drop, last := 0, len(l.records)-1
	for drop < last && (len(l.records)-drop > l.terms.Revisions || l.kept > l.terms.Bytes) {
		l.kept -= l.records[drop].bytes()
		drop++
	}
	if drop > 0 {
		l.oldest += uint64(drop)
		l.before = l.records[drop-1].hash
		l.records = slices.Delete(l.records, 0, drop)
	}
}

// AddMember notes a follower's process: a keeper that hears one that isn't Joined proposes it, and answers when it is. True if it
// is new. Of two processes the one with the greater instance is the later, whichever is noted first: a call of a process that
// has ended can come late. A wrong name or instance, or a name beyond MaxRoster, is not noted.
func (l *Log) AddMember(name, instance string) bool {
	seats, known := l.roster[name]
	if l.HasMember(name, instance) || !known && len(l.roster) >= MaxMembers || (FollowerStatus{Name: name, Instance: instance}).Check() != nil {
		return false
	}
	if instance > seats[0] {
		seats[0], instance = instance, seats[0]
	}
	l.roster[name] = [2]string{seats[0], instance}
	return true
}

// HasMember says whether a process is one of the two that are noted under its name: during a takeover both live.
func (l *Log) HasMember(name, instance string) bool {
	seats, known := l.roster[name]
	return known && instance != "" && (seats[0] == instance || seats[1] == instance)
}

// RemoveMember takes the name of a follower that won't come back out; true if it was there.
func (l *Log) RemoveMember(name string) bool {
	_, known := l.roster[name]
	delete(l.roster, name)
	return known
}

// Members gives the names of all followers ever seen and not forgotten, sorted.
func (l *Log) Members() []string { return slices.Sorted(maps.Keys(l.roster)) }

// set puts a value into a content, or takes the entry out for nil.
func set(content map[string]json.RawMessage, pointer string, v json.RawMessage) {
	if v == nil {
		delete(content, pointer)
		return
	}
	content[pointer] = v
}

// above gives the proper prefixes of a pointer, shortest first.
func above(pointer string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for i := 1; i < len(pointer); {
			n := strings.IndexByte(pointer[i:], '/')
			if n < 0 || !yield(pointer[:i+n]) {
				return
			}
			i += n + 1
		}
	}
}
