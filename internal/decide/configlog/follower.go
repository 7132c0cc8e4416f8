package configlog

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Why a follower doesn't use an update. After each of them, CallFailed has to be called: another keeper is polled,
// after a wait.
var (
	// ErrBehind is a keeper that is before the follower, which keeps its revision; see KeepersAreBehind.
	ErrBehind = errors.New("the keeper is behind")
	// ErrStale is an answer to an earlier call: it begins at another revision or ends before what is in force.
	ErrStale = errors.New("the update doesn't begin where this follower is")
	// ErrMismatch is an update whose content doesn't have the hash that it says.
	ErrMismatch = errors.New("the content doesn't have the hash that was said")
	// ErrPending is an update that arrives before the one before was accepted or rejected.
	ErrPending = errors.New("the update before is neither accepted nor refused")
	// ErrDamaged is a copy or a state that isn't what was written.
	ErrDamaged = errors.New("damaged")
)

// maxRejections is how many rejections a follower remembers: those of the latest revisions.
const maxRejections = 16

// content is a revision with all its entries. It is never changed, so that callers can continue reading the entries.
type content struct {
	revision uint64
	hash     Hash
	entries  map[string]json.RawMessage
}

// Follower is the router's side: what it has in force, what it is offered, and which keeper it calls when. It has the
// content of exactly one revision in force, beside at most one candidate, and its revision never goes back.
type Follower struct {
	name, instance string
	current        content
	candidate      *content    // offered, neither accepted nor rejected
	rejections     []Rejection // of revisions after the current one, by revision
	needsSnapshot  bool        // an update didn't fit
	selection      keeperSelection
}

// NewFollower returns a follower at revision 0, which is the router's own file alone. The instance is that of
// NewInstanceID.
func NewFollower(name, instance string) *Follower {
	return &Follower{
		name: name, instance: instance,
		current:   content{entries: map[string]json.RawMessage{}},
		selection: newKeeperSelection(instance),
	}
}

// Status returns what the next call reports to a keeper, which is also the ACK or NACK of what the last one brought.
// After an update that didn't fit, the hash is left out, so that a keeper answers with a snapshot.
func (f *Follower) Status() FollowerStatus {
	status := FollowerStatus{Name: f.name, Instance: f.instance, Revision: f.current.revision, Hash: f.current.hash}
	if n := len(f.rejections); n > 0 {
		latest := f.rejections[n-1]
		status.Rejected = &latest
	}
	if f.needsSnapshot {
		status.Hash = Hash{}
	}
	return status
}

// Offer takes a keeper's answer. With ok, the content is a candidate: apply it and call Accept, or Reject if that
// fails. Without ok and error there is nothing to do. The content must not be changed. After an error (ErrBehind,
// ErrStale, ErrMismatch, ErrPending) the follower has the same content as before.
func (f *Follower) Offer(update Update) (entries map[string]json.RawMessage, ok bool, err error) {
	if f.candidate != nil {
		return nil, false, ErrPending
	}
	if update.KeeperBehind {
		return nil, false, f.keeperBehind(update.To)
	}
	if update.To < f.current.revision || !update.Snapshot && update.From != f.current.revision {
		return nil, false, fmt.Errorf("%w: from %d to %d at %d", ErrStale, update.From, update.To, f.current.revision)
	}
	same := update.To == f.current.revision && update.Hash == f.current.hash
	if update.IsEmpty() || same || f.hasRejected(update.To, update.Hash) {
		f.needsSnapshot = f.needsSnapshot && !same
		f.CallSucceeded()
		return nil, false, nil
	}
	candidate, err := f.current.apply(update)
	if err != nil {
		f.needsSnapshot = true
		return nil, false, err
	}
	f.CallSucceeded()
	f.candidate = &candidate
	return candidate.entries, true, nil
}

// apply returns the content that an update makes, and an error that wraps ErrMismatch if it isn't what the update says.
func (c content) apply(update Update) (content, error) {
	next, err := c.withUpdate(update)
	if err != nil {
		return content{}, err
	}
	if next.hash != update.Hash {
		return content{}, fmt.Errorf("%w: revision %d", ErrMismatch, update.To)
	}
	return next, nil
}

func (c content) withUpdate(update Update) (content, error) {
	if update.Snapshot {
		return newContent(update.To, update.Put), nil
	}
	return c.withDelta(update)
}

// newContent copies the entries.
func newContent(revision uint64, entries map[string]json.RawMessage) content {
	entries = maps.Clone(entries)
	if entries == nil {
		entries = map[string]json.RawMessage{}
	}
	return content{revision: revision, hash: HashEntries(entries), entries: entries}
}

// withDelta returns the content after an update that is no snapshot.
func (c content) withDelta(update Update) (content, error) {
	next := content{revision: update.To, hash: c.hash, entries: maps.Clone(c.entries)}
	for _, pointer := range update.Remove {
		value, ok := next.entries[pointer]
		if !ok {
			return next, fmt.Errorf("%w: revision %d removes %s, which isn't there", ErrMismatch, update.To, pointer)
		}
		next.hash = next.hash.minus(entryDigest(pointer, value))
		delete(next.entries, pointer)
	}
	for pointer, value := range update.Put {
		if before, ok := next.entries[pointer]; ok {
			next.hash = next.hash.minus(entryDigest(pointer, before))
		}
		next.hash = next.hash.plus(entryDigest(pointer, value))
		next.entries[pointer] = value
	}
	return next, nil
}

// Accept records that the candidate is in force. Without a candidate it does nothing.
func (f *Follower) Accept() {
	if f.candidate == nil {
		return
	}
	f.current, f.candidate, f.needsSnapshot = *f.candidate, nil, false
	f.rejections = slices.DeleteFunc(f.rejections, func(r Rejection) bool { return r.Revision <= f.current.revision })
}

// Reject records that the candidate couldn't be applied, at which pointer and why; the revision before stays in force.
// The same content under the same number isn't offered again by this process until ClearRejections, even if a keeper
// that is behind has offered another one in between. Without a candidate it does nothing.
func (f *Follower) Reject(pointer, reason string) {
	if f.candidate == nil {
		return
	}
	rejected := Rejection{
		Revision: f.candidate.revision, Hash: f.candidate.hash,
		Pointer: truncate(pointer, MaxPointerBytes), Reason: truncate(reason, MaxNoteBytes),
	}
	f.candidate = nil
	byRevision := func(a, b Rejection) int { return cmp.Compare(a.Revision, b.Revision) }
	index, _ := slices.BinarySearchFunc(f.rejections, rejected, byRevision)
	f.rejections = slices.Insert(f.rejections, index, rejected)
	if excess := len(f.rejections) - maxRejections; excess > 0 {
		f.rejections = slices.Delete(f.rejections, 0, excess)
	}
}

func (f *Follower) hasRejected(revision uint64, hash Hash) bool {
	return slices.ContainsFunc(f.rejections, func(r Rejection) bool { return r.Revision == revision && r.Hash == hash })
}

// truncate returns at most limit bytes of a text, without a part of a character.
func truncate(text string, limit int) string {
	if len(text) > limit {
		text = text[:limit]
	}
	return strings.ToValidUTF8(text, "")
}

// ClearRejections forgets what was rejected, so that it is offered once more: for when the router's own file has
// changed.
func (f *Follower) ClearRejections() { f.rejections = nil }

// Saved returns the copy of what is in force.
func (f *Follower) Saved() SavedRevision {
	saved := SavedRevision{Revision: f.current.revision, Hash: f.current.hash, Entries: f.current.entries}
	saved.Checksum = saved.checksum()
	return saved
}

// Restore offers a copy as Offer does an update, to be accepted or rejected. The error wraps ErrDamaged for one that
// isn't what was saved, ErrStale for one that isn't after what is in force, and ErrPending as in Offer.
func (f *Follower) Restore(saved SavedRevision) (entries map[string]json.RawMessage, ok bool, err error) {
	if f.candidate != nil {
		return nil, false, ErrPending
	}
	candidate := newContent(saved.Revision, saved.Entries)
	switch {
	case saved.Checksum != saved.checksum() || saved.Hash != candidate.hash:
		return nil, false, fmt.Errorf("%w: the copy of revision %d doesn't have the hash that it says",
			ErrDamaged, saved.Revision)
	case saved.Revision == 0 && f.current.revision == 0:
		return nil, false, nil
	case saved.Revision <= f.current.revision:
		return nil, false, fmt.Errorf("%w: the copy has revision %d, in force is %d",
			ErrStale, saved.Revision, f.current.revision)
	}
	f.candidate = &candidate
	return candidate.entries, true, nil
}
