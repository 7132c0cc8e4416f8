package configlog

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// FollowerStatus is what a follower process reports to a keeper: the revision that it has in force (ACK) and the latest
// one that it rejected (NACK), if any.
type FollowerStatus struct {
	Name     string     `json:"name"`     // the router's name, which stays the same after a restart
	Instance string     `json:"instance"` // identifies the process; see NewInstanceID
	Revision uint64     `json:"revision"` // the revision in force; 0 means that the router uses its own file alone
	Hash     Hash       `json:"hash"`
	Rejected *Rejection `json:"refused,omitempty"`
}

// Rejection is a revision that a follower could not apply. The revision that was in force stays in force.
type Rejection struct {
	Revision uint64 `json:"revision"`
	Hash     Hash   `json:"hash"` // the hash of the rejected content
	Pointer  string `json:"pointer,omitempty"`
	Reason   string `json:"reason"`
}

// NewInstanceID returns the identifier of a process, built from its start time in Unix milliseconds and a random
// number. It is unique, and it sorts after those of earlier processes of the same router unless the clock was set back.
// In that case the log may take an earlier process for the latest, so that Convergence waits longer than necessary
// while a keeper is unreached.
func NewInstanceID(startedMS int64, random uint64) string {
	return fmt.Sprintf("%012x-%016x", max(startedMS, 0), random)
}

// Check returns an error that names the first invalid field of a status, or nil.
func (s FollowerStatus) Check() error {
	if err := checkIdentifier("name", s.Name); err != nil {
		return err
	}
	if err := checkIdentifier("instance", s.Instance); err != nil {
		return err
	}
	if r := s.Rejected; r != nil && (len(r.Pointer) > MaxPointerBytes || len(r.Reason) > MaxNoteBytes) {
		return fmt.Errorf("field refused: its pointer has %d bytes and its reason %d; the limits are %d and %d",
			len(r.Pointer), len(r.Reason), MaxPointerBytes, MaxNoteBytes)
	}
	return nil
}

// checkIdentifier validates IDs and names, which are written to log lines, URL paths and answers.
func checkIdentifier(field, value string) error {
	switch {
	case value == "":
		return fmt.Errorf("field %s is missing", field)
	case len(value) > MaxIDBytes:
		return fmt.Errorf("field %s has %d bytes; the limit is %d", field, len(value), MaxIDBytes)
	case !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl):
		return fmt.Errorf("field %s has a control character or is not valid UTF-8", field)
	}
	return nil
}
