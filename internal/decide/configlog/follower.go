package configlog

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Why a follower doesn't take an update. After each of them, call Lost: another keeper is asked, after a wait.
var (
	// ErrBehind is a keeper that is before the follower, which keeps what it has; see Ahead.
	ErrBehind = errors.New("the keeper is behind")
	// ErrStale is an answer to a former question: it begins elsewhere or ends before what is in force.
	ErrStale = errors.New("the update doesn't begin where this follower is")
	// ErrMismatch is an update whose content doesn't have the hash that it says.
	ErrMismatch = errors.New("the content doesn't have the hash that was said")
	// ErrPending is an update that comes before the one before was accepted or refused.
	ErrPending = errors.New("the update before is neither accepted nor refused")
	// ErrDamaged is a copy or a state that isn't what was written.
	ErrDamaged = errors.New("damaged")
)

// SavedRevision is a follower's copy for its disk: the last revision that was in force.
type SavedRevision struct {
	Revision uint64                     `json:"revision"`
	Hash     Hash                       `json:"hash"`
	Checksum Hash                       `json:"sum"` // of Revision and Hash, which the hash of the entries doesn't guard
	Entries  map[string]json.RawMessage `json:"entries"`
}

func (s SavedRevision) sum() Hash {
	return sha256.Sum256(append(binary.LittleEndian.AppendUint64([]byte("windflow saved\n"), s.Revision), s.Hash[:]...))
}

// content is a revision with all its entries. It is never written to once made, so that who was handed it may go on reading.
type content struct {
	revision uint64
	hash     Hash
	entries  map[string]json.RawMessage
}

// Follower is the router's side: what it holds, what it is offered, and whom it asks when. It holds the content of one revision,
// or a candidate beside it, never a mix, and its revision doesn't go back while it lives.
type Follower struct {
	name, instance string
	now            content
	next           *content    // offered, neither accepted nor refused
	refused        []Rejection // after what is in force, by revision
	whole          bool        // an update didn't fit: the whole is asked for
	courier
}

// NewFollower gives a follower at revision 0, which is the router's own file alone. The instance is another in
// each life; see Instance.
func NewFollower(name, instance string) *Follower {
	return &Follower{
		name: name, instance: instance, now: content{entries: map[string]json.RawMessage{}},
		courier: newCourier(instance),
	}
}

// Status gives what the next call says to a keeper, which is also the ACK or NACK of what the last one brought. After an update
// that didn't fit, the hash is left out, which makes a keeper send the whole.
func (f *Follower) Status() FollowerStatus {
	r := FollowerStatus{Name: f.name, Instance: f.instance, Revision: f.now.revision, Hash: f.now.hash}
	if n := len(f.refused); n > 0 {
		last := f.refused[n-1]
		r.Rejected = &last
	}
	if f.whole {
		r.Hash = Hash{}
	}
	return r
}

// Offer takes a keeper's answer. With ok, the content is a candidate: bring it in force and call Accept, or Refuse if that
// fails. Without ok and error there is nothing to do. The content mustn't be written to. Errors: ErrBehind, ErrStale,
// ErrMismatch, ErrPending; the follower holds the same as before then.
func (f *Follower) Offer(u Update) (entries map[string]json.RawMessage, ok bool, err error) {
	if f.next != nil {
		return nil, false, ErrPending
	}
	if u.KeeperBehind {
		return nil, false, f.behind(u.To, f.now.revision)
	}
	if u.To < f.now.revision || !u.Snapshot && u.From != f.now.revision {
		return nil, false, fmt.Errorf("%w: from %d to %d at %d", ErrStale, u.From, u.To, f.now.revision)
	}
	same := u.To == f.now.revision && u.Hash == f.now.hash
	if u.IsEmpty() || same || f.hasRefused(u.To, u.Hash) {
		f.whole = f.whole && !same
		f.Unchanged()
		return nil, false, nil
	}
	next := content{revision: u.To}
	if next.entries, next.hash, err = f.apply(u); err == nil && next.hash != u.Hash {
		err = fmt.Errorf("%w: revision %d", ErrMismatch, u.To)
	}
	if err != nil {
		f.whole = true
		return nil, false, err
	}
	f.Unchanged()
	f.next = &next
	return next.entries, true, nil
}

// apply gives the content that an update makes, with its hash, beside the one in force.
func (f *Follower) apply(u Update) (map[string]json.RawMessage, Hash, error) {
	if u.Snapshot {
		entries := maps.Clone(u.Put)
		if entries == nil {
			entries = map[string]json.RawMessage{}
		}
		return entries, HashEntries(entries), nil
	}
	entries, h := maps.Clone(f.now.entries), f.now.hash
	for _, p := range u.Remove {
		was, ok := entries[p]
		if !ok {
			return nil, h, fmt.Errorf("%w: revision %d removes %s, which isn't there", ErrMismatch, u.To, p)
		}
		h = h.minus(digest(p, was))
		delete(entries, p)
	}
	for p, v := range u.Put {
		if was, ok := entries[p]; ok {
			h = h.minus(digest(p, was))
		}
		h = h.plus(digest(p, v))
		entries[p] = v
	}
	return entries, h, nil
}

// Accept says that the candidate is in force. Without a candidate it does nothing.
func (f *Follower) Accept() {
	if f.next == nil {
		return
	}
	f.now, f.next, f.whole = *f.next, nil, false
	f.refused = slices.DeleteFunc(f.refused, func(r Rejection) bool { return r.Revision <= f.now.revision })
}

// Reject says that the candidate couldn't be brought in force, at which pointer and why; the one before stays. The same content
// under the same number isn't taken again in this life until Retry, also if a keeper that is late has offered another between.
// Without a candidate it does nothing.
func (f *Follower) Reject(pointer, reason string) {
	if f.next == nil {
		return
	}
	r := Rejection{Revision: f.next.revision, Hash: f.next.hash, Pointer: cut(pointer, MaxPointerBytes), Reason: cut(reason, MaxNoteBytes)}
	f.next = nil
	at, _ := slices.BinarySearchFunc(f.refused, r, func(a, b Rejection) int { return cmp.Compare(a.Revision, b.Revision) })
	f.refused = slices.Insert(f.refused, at, r)
	if over := len(f.refused) - refusals; over > 0 {
		f.refused = slices.Delete(f.refused, 0, over)
	}
}

// refusals is how many a follower remembers: those of the latest revisions.
const refusals = 16

func (f *Follower) hasRefused(rev uint64, h Hash) bool {
	return slices.ContainsFunc(f.refused, func(r Rejection) bool { return r.Revision == rev && r.Hash == h })
}

// cut gives at most so many bytes of a text, and no part of a character.
func cut(s string, most int) string {
	if len(s) > most {
		s = s[:most]
	}
	return strings.ToValidUTF8(s, "")
}

// ClearRejections forgets what was refused, so that it's offered once more: for when the router's own file has changed.
func (f *Follower) ClearRejections() { f.refused = nil }

// Saved gives the copy of what is in force.
func (f *Follower) Saved() SavedRevision {
	s := SavedRevision{Revision: f.now.revision, Hash: f.now.hash, Entries: f.now.entries}
	s.Checksum = s.sum()
	return s
}

// Restore offers a copy as Offer does an update, to be accepted or refused. ErrDamaged is one that isn't what was saved;
// ErrStale one that isn't after what is in force; ErrPending as in Offer.
func (f *Follower) Restore(s SavedRevision) (entries map[string]json.RawMessage, ok bool, err error) {
	switch {
	case f.next != nil:
		return nil, false, ErrPending
	case s.Checksum != s.sum() || HashEntries(s.Entries) != s.Hash:
		return nil, false, fmt.Errorf("%w: the copy of revision %d doesn't have the hash that it says", ErrDamaged, s.Revision)
	case s.Revision == 0 && f.now.revision == 0:
		return nil, false, nil
	case s.Revision <= f.now.revision:
		return nil, false, fmt.Errorf("%w: the copy has revision %d, in force is %d", ErrStale, s.Revision, f.now.revision)
	}
	next := content{revision: s.Revision, hash: s.Hash, entries: maps.Clone(s.Entries)}
	if next.entries == nil {
		next.entries = map[string]json.RawMessage{}
	}
	f.next = &next
	return next.entries, true, nil
}
