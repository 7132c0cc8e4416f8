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

// The errors of Follower.Offer and Follower.Restore; Log.UnmarshalBinary returns ErrDamaged as well. After an error of
// Offer, the caller must call CallFailed, so that the follower polls another keeper after a wait.
var (
	// ErrBehind means that the keeper has an earlier revision than the follower, which keeps its own; see
	// KeepersAreBehind.
	ErrBehind = errors.New("the keeper is behind the follower")
	// ErrStale means that an update, such as a late answer to an earlier call, starts at another revision than the one
	// in force or leads to an earlier one; or that a saved copy is not later than the revision in force.
	ErrStale = errors.New("stale update")
	// ErrMismatch means that an update does not lead to content with the hash that it declares.
	ErrMismatch = errors.New("the update does not match its hash")
	// ErrPending means that the previous candidate has been neither accepted nor rejected.
	ErrPending = errors.New("the previous update is neither accepted nor rejected")
	// ErrDamaged means that a saved copy or an encoded state differs from what was written.
	ErrDamaged = errors.New("damaged")
)

// maxRejections is how many rejections a follower remembers. Those of the highest revisions are kept.
const maxRejections = 16

// content is a revision with all its entries. It is immutable, so that callers can keep reading the entries.
type content struct {
	revision uint64
	hash     Hash
	entries  map[string]json.RawMessage
}

// Follower is the router's side of the configuration log. It holds the one revision in force and at most one candidate,
// and decides which keeper to call and when. The revision in force never decreases.
type Follower struct {
	name, instance string
	current        content
	candidate      *content    // offered, but neither accepted nor rejected yet; nil if there is none
	rejections     []Rejection // of revisions after the current one, ordered by revision
	needsSnapshot  bool        // an update could not be applied to the current content
	selection      keeperSelection
}

// NewFollower returns a follower at revision 0, which has no entries: the router uses its own file alone. instance is
// the result of NewInstanceID.
func NewFollower(name, instance string) *Follower {
	return &Follower{
		name: name, instance: instance,
		current:   content{entries: map[string]json.RawMessage{}},
		selection: newKeeperSelection(instance),
	}
}

// Status returns what the next call reports to a keeper. It also acknowledges (ACK) or rejects (NACK) the update that
// the previous call returned. After an update that could not be applied, the hash is zero, so that the keeper answers
// with a snapshot.
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

// Offer takes a keeper's answer. If ok is true, entries is the complete content of a candidate revision, which the
// caller must apply and then Accept, or Reject if applying fails; entries must not be modified. If ok is false and err
// is nil, there is nothing to apply. After an error (ErrBehind, ErrStale, ErrMismatch or ErrPending) the revision in
// force is unchanged.
func (f *Follower) Offer(update Update) (entries map[string]json.RawMessage, ok bool, err error) {
	if f.candidate != nil {
		return nil, false, ErrPending
	}
	if update.KeeperBehind {
		return nil, false, f.keeperBehind(update.To)
	}
	if update.To < f.current.revision || !update.Snapshot && update.From != f.current.revision {
		return nil, false, fmt.Errorf("%w: it leads from revision %d to %d, but revision %d is in force",
			ErrStale, update.From, update.To, f.current.revision)
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

// apply returns the content after an update. If the hash of the result is not the one in the update, it returns an
// error that wraps ErrMismatch.
func (c content) apply(update Update) (content, error) {
	next, err := c.withUpdate(update)
	if err != nil {
		return content{}, err
	}
	if next.hash != update.Hash {
		return content{}, fmt.Errorf("%w: revision %d has hash %s, not %s",
			ErrMismatch, update.To, next.hash, update.Hash)
	}
	return next, nil
}

func (c content) withUpdate(update Update) (content, error) {
	if update.Snapshot {
		return newContent(update.To, update.Put), nil
	}
	return c.withDelta(update)
}

// newContent returns a content with a copy of the entries and their hash.
func newContent(revision uint64, entries map[string]json.RawMessage) content {
	entries = maps.Clone(entries)
	if entries == nil {
		entries = map[string]json.RawMessage{}
	}
	return content{revision: revision, hash: HashEntries(entries), entries: entries}
}

// withDelta returns the content after an update that is not a snapshot.
func (c content) withDelta(update Update) (content, error) {
	next := content{revision: update.To, hash: c.hash, entries: maps.Clone(c.entries)}
	for _, pointer := range update.Remove {
		value, ok := next.entries[pointer]
		if !ok {
			return next, fmt.Errorf("%w: revision %d removes %s, which does not exist", ErrMismatch, update.To, pointer)
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

// Accept makes the candidate the revision in force. It does nothing if there is no candidate.
func (f *Follower) Accept() {
	if f.candidate == nil {
		return
	}
	f.current, f.candidate, f.needsSnapshot = *f.candidate, nil, false
	f.rejections = slices.DeleteFunc(f.rejections, func(r Rejection) bool { return r.Revision <= f.current.revision })
}

// Reject records that the candidate could not be applied, at which pointer and for which reason. The current revision
// stays in force. Offer does not return the same content under the same revision again until ClearRejections, even if a
// keeper that is behind offers another revision in between. It does nothing if there is no candidate.
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

// truncate shortens a text to at most limit bytes and removes invalid UTF-8, such as a character that was cut.
func truncate(text string, limit int) string {
	if len(text) > limit {
		text = text[:limit]
	}
	return strings.ToValidUTF8(text, "")
}

// ClearRejections forgets all rejections, so that rejected revisions are offered again. It is called when the router's
// own file has changed, since they may be valid together with the new file.
func (f *Follower) ClearRejections() { f.rejections = nil }

// Saved returns the revision in force as a copy to be stored on disk.
func (f *Follower) Saved() SavedRevision {
	saved := SavedRevision{Revision: f.current.revision, Hash: f.current.hash, Entries: f.current.entries}
	saved.Checksum = saved.checksum()
	return saved
}

// Restore makes a saved copy the candidate, to be accepted or rejected as after Offer. The error wraps ErrDamaged if
// the copy differs from what was saved, ErrStale if its revision is not later than the one in force, and ErrPending if
// there is a candidate already. A copy of revision 0 at revision 0 returns ok false without an error.
func (f *Follower) Restore(saved SavedRevision) (entries map[string]json.RawMessage, ok bool, err error) {
	if f.candidate != nil {
		return nil, false, ErrPending
	}
	candidate := newContent(saved.Revision, saved.Entries)
	switch {
	case saved.Checksum != saved.checksum() || saved.Hash != candidate.hash:
		return nil, false, fmt.Errorf("%w: the saved copy of revision %d does not match its hash and checksum",
			ErrDamaged, saved.Revision)
	case saved.Revision == 0 && f.current.revision == 0:
		return nil, false, nil
	case saved.Revision <= f.current.revision:
		return nil, false, fmt.Errorf("%w: the saved copy has revision %d, but revision %d is in force",
			ErrStale, saved.Revision, f.current.revision)
	}
	f.candidate = &candidate
	return candidate.entries, true, nil
}
