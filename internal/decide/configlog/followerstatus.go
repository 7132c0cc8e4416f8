package configlog

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// FollowerStatus is a follower's report to a keeper: it has Revision with Hash in force (ACK), and rejected Rejected
// (NACK), if any.
type FollowerStatus struct {
	Name     string     `json:"name"`     // of the router, the same after a restart
	Instance string     `json:"instance"` // of the process; see NewInstanceID
	Revision uint64     `json:"revision"` // 0 for the router's own file alone
	Hash     Hash       `json:"hash"`
	Rejected *Rejection `json:"refused,omitempty"`
}

// Rejection is a revision that a follower couldn't apply; the one before stays in force.
type Rejection struct {
	Revision uint64 `json:"revision"`
	Hash     Hash   `json:"hash"` // of the rejected content
	Pointer  string `json:"pointer,omitempty"`
	Reason   string `json:"reason"`
}

// NewInstanceID returns the identifier of a process, from its start in Unix milliseconds and a random number. It
// differs from that of any other process, and is greater than that of earlier processes of the same router unless the
// clock went back; then Convergence is more careful for a while.
func NewInstanceID(startedMS int64, random uint64) string {
	return fmt.Sprintf("%012x-%016x", max(startedMS, 0), random)
}

// Check returns which field of a status is not valid, or nil.
func (s FollowerStatus) Check() error {
	if err := checkIdentifier("name", s.Name); err != nil {
		return err
	}
	if err := checkIdentifier("instance", s.Instance); err != nil {
		return err
	}
	if r := s.Rejected; r != nil && (len(r.Pointer) > MaxPointerBytes || len(r.Reason) > MaxNoteBytes) {
		return fmt.Errorf("field refused: its pointer has more than %d bytes, or its reason more than %d",
			MaxPointerBytes, MaxNoteBytes)
	}
	return nil
}

// checkIdentifier validates IDs and names, which become part of log lines, paths of URLs and answers.
func checkIdentifier(field, value string) error {
	switch {
	case value == "":
		return fmt.Errorf("field %s is missing", field)
	case len(value) > MaxIDBytes:
		return fmt.Errorf("field %s has %d bytes, more than %d", field, len(value), MaxIDBytes)
	case !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl):
		return fmt.Errorf("field %s has a control character or is no UTF-8", field)
	}
	return nil
}
