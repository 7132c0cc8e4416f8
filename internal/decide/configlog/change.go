// Package configlog decides how a configuration by revision comes to the routers: a log of revisions as the keepers replicate
// it, what a follower gets that holds another revision, whose word counts for how long, when a revision may be called in
// force everywhere, and what a follower does with what it is offered. It reads no clock, draws no chance and does no I/O: times
// come in as milliseconds, jitter as a number. None of its types may be used by two goroutines at once.
package configlog

import (
	"encoding/json"
	"fmt"

	"windflow/internal/decide/configerror"
)

// Change is a proposal for a revision, as operators send it in JSON. It puts and removes entries, or reverts to the content of
// a former revision; one of the two has to be there.
type Change struct {
	// ID makes a repeated call one change: of the latest MaxIDs changes none is made twice. 1 to MaxID bytes.
	ID string `json:"id"`
	// Expect is the revision that has to be in force for the change to be made; nil stands for any.
	Expect *uint64 `json:"expect,omitempty"`
	// Put holds new values by JSON pointer (RFC 6901); see CheckPointer for the places that there are.
	Put map[string]json.RawMessage `json:"put,omitempty"`
	// Remove names entries to take out; each has to be there.
	Remove []string `json:"remove,omitempty"`
	// RevertTo asks for a new revision with the content of that one; Put and Remove are empty then.
	RevertTo *uint64 `json:"revert_to,omitempty"`
	// Note says in the operator's words why; at most MaxNote bytes.
	Note string `json:"note,omitempty"`
	// AtMS is when the keeper proposed it, in Unix milliseconds of its clock. It is shown and decides nothing.
	AtMS int64 `json:"at_ms"`
}

// Result is what became of a Change. Where Fault is nil, Revision is the one that the change made, now or (Repeated) at a former
// call; otherwise nothing was made and Revision is the one in force.
type Result struct {
	Revision uint64             `json:"revision"`
	Repeated bool               `json:"repeated"`
	Err      *configerror.Error `json:"fault,omitempty"`
}

// Revision is one change that was made, as History shows it. Put and Remove are what differs from the revision before, also
// for a revert.
type Revision struct {
	Revision uint64                     `json:"revision"`
	ID       string                     `json:"id"`
	Note     string                     `json:"note,omitempty"`
	AtMS     int64                      `json:"at_ms"` // Unix milliseconds of the proposing keeper's clock
	RevertTo *uint64                    `json:"revert_to,omitempty"`
	Hash     Hash                       `json:"hash"` // of the whole document at this revision
	Put      map[string]json.RawMessage `json:"put,omitempty"`
	Remove   []string                   `json:"remove,omitempty"`
}

// Update brings a follower from revision From to To. With Snapshot, Put is the whole content of To; otherwise Put and Remove
// are what differs. Hash is that of the whole content of To. Behind says that the keeper is at To, which is before the
// follower's From, and has nothing for it.
type Update struct {
	From         uint64                     `json:"from"`
	To           uint64                     `json:"to"`
	Snapshot     bool                       `json:"snapshot"`
	KeeperBehind bool                       `json:"behind"`
	Put          map[string]json.RawMessage `json:"put,omitempty"`
	Remove       []string                   `json:"remove,omitempty"`
	Hash         Hash                       `json:"hash"`
}

// IsEmpty says that the update holds nothing new for the follower that it is for.
func (u Update) IsEmpty() bool { return u.From == u.To && !u.Snapshot && !u.KeeperBehind }

// FollowerStatus is a follower's word to a keeper: it holds Revision with Hash in force (ACK), and refused Refused (NACK), if any.
type FollowerStatus struct {
	Name     string     `json:"name"`     // of the router, the same in its next life
	Instance string     `json:"instance"` // of the process, another in each life; see Instance
	Revision uint64     `json:"revision"` // 0 for the router's own file alone
	Hash     Hash       `json:"hash"`
	Rejected *Rejection `json:"refused,omitempty"`
}

// Rejection is a revision that a follower couldn't put in force; it keeps the one before.
type Rejection struct {
	Revision uint64 `json:"revision"`
	Hash     Hash   `json:"hash"` // of the refused content
	Pointer  string `json:"pointer,omitempty"`
	Reason   string `json:"reason"`
}

// NewInstance gives a process its name, from when it started (Unix milliseconds) and a random number: another in each life, and
// greater in a later one of the same router unless the clock went back. Then a verdict is more careful for a while.
func NewInstance(startedMS int64, random uint64) string {
	return fmt.Sprintf("%012x-%016x", max(startedMS, 0), random)
}

// Check says which field of a report is wrong, or nothing.
func (r FollowerStatus) Check() error {
	if err := checkLabel("name", r.Name); err != nil {
		return err
	}
	if err := checkLabel("instance", r.Instance); err != nil {
		return err
	}
	if f := r.Rejected; f != nil && (len(f.Pointer) > MaxPointerBytes || len(f.Reason) > MaxNoteBytes) {
		return fmt.Errorf("field refused: its pointer has more than %d bytes, or its reason more than %d", MaxPointerBytes, MaxNoteBytes)
	}
	return nil
}
