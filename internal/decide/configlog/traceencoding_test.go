package configlog

import (
	"encoding/json"
	"errors"

	"windflow/internal/decide/configerror"
	"windflow/internal/tracetest"
)

// This file writes the results of the package to a trace, field by field. Error texts of the package are left out, so
// that rewording them does not change the traces.

// The kinds of steps in a trace. The recorded traces contain these numbers, so they must not change.
const (
	stepResult      = 1
	stepInForce     = 2
	stepError       = 3
	stepUpdate      = 4
	stepStatus      = 5
	stepOffered     = 6
	stepSaved       = 7
	stepConvergence = 8
	stepLeases      = 9
	stepHistory     = 10
	stepMembers     = 11
	stepComplete    = 12
	stepKeeper      = 13
	stepCallFailed  = 14
	stepPointer     = 15
)

func traceResult(h *tracetest.Hash, r Result) {
	h.Step(stepResult)
	h.Uint(r.Revision)
	h.Bool(r.Repeated)
	traceError(h, r.Err)
}

// traceInForce traces the revision in force of a log with its hash, size and entries.
func traceInForce(h *tracetest.Hash, l *Log) {
	h.Step(stepInForce)
	h.Uint(l.Revision())
	h.Uint(l.OldestRevision())
	hash := l.Hash()
	h.Bytes(hash[:])
	entries, bytes := l.Size()
	h.Int(int64(entries))
	h.Int(int64(bytes))
	traceEntries(h, l.Entries())
}

func traceError(h *tracetest.Hash, rejected *configerror.Error) {
	h.Step(stepError)
	h.Bool(rejected != nil)
	if rejected == nil {
		return
	}
	h.String(string(rejected.Kind)) // part of the protocol, unlike the reason
	h.String(rejected.Pointer)
	h.Uint(rejected.Revision)
}

func traceEntries(h *tracetest.Hash, content map[string]json.RawMessage) {
	h.Int(int64(len(content)))
	for _, p := range sortedKeys(content) {
		h.String(p)
		h.Bytes(content[p])
	}
}

func traceUpdate(h *tracetest.Hash, u Update) {
	h.Step(stepUpdate)
	h.Uint(u.From)
	h.Uint(u.To)
	h.Bool(u.Snapshot)
	h.Bool(u.KeeperBehind)
	h.Bool(u.IsEmpty())
	traceEntries(h, u.Put)
	traceStrings(h, u.Remove)
	h.Bytes(u.Hash[:])
}

func traceStrings(h *tracetest.Hash, list []string) {
	h.Int(int64(len(list)))
	for _, s := range list {
		h.String(s)
	}
}

func traceStatus(h *tracetest.Hash, status FollowerStatus) {
	h.Step(stepStatus)
	h.String(status.Name)
	h.String(status.Instance)
	h.Uint(status.Revision)
	h.Bytes(status.Hash[:])
	traceRejection(h, status.Rejected)
}

func traceRejection(h *tracetest.Hash, r *Rejection) {
	h.Bool(r != nil)
	if r == nil {
		return
	}
	h.Uint(r.Revision)
	h.Bytes(r.Hash[:])
	h.String(r.Pointer)
	h.String(r.Reason) // chosen by the caller of Reject
}

func traceOffered(h *tracetest.Hash, content map[string]json.RawMessage, ok bool, err error) {
	h.Step(stepOffered)
	traceEntries(h, content)
	h.Bool(ok)
	h.Int(errorNumber(err))
}

// errorNumber returns the number of a follower's error, starting at 1; 0 for nil and -1 for an unknown error.
func errorNumber(err error) int64 {
	if err == nil {
		return 0
	}
	for i, known := range []error{ErrBehind, ErrStale, ErrMismatch, ErrPending, ErrDamaged} {
		if errors.Is(err, known) {
			return int64(i + 1)
		}
	}
	return -1
}

func traceSaved(h *tracetest.Hash, s SavedRevision) {
	h.Step(stepSaved)
	h.Uint(s.Revision)
	h.Bytes(s.Hash[:])
	h.Bytes(s.Checksum[:])
	traceEntries(h, s.Entries)
}

func traceConvergence(h *tracetest.Hash, status ConvergenceStatus) {
	h.Step(stepConvergence)
	h.Uint(status.Revision)
	for _, processes := range [][]FollowerProcess{status.InForce, status.Behind, status.Rejected, status.Diverged} {
		h.Int(int64(len(processes)))
		for _, process := range processes {
			h.String(process.Name)
			h.String(process.Instance)
			h.Uint(process.Revision)
			h.Bytes(process.Hash[:])
			traceRejection(h, process.Rejected)
		}
	}
	traceStrings(h, status.Missing)
	traceStrings(h, status.UnreachedKeepers)
	h.Bool(status.Converged)
}

func traceLeases(h *tracetest.Hash, leases []Lease) {
	h.Step(stepLeases)
	h.Int(int64(len(leases)))
	for _, l := range leases {
		traceStatus(h, l.FollowerStatus)
		h.Float(l.UntilMS)
	}
}

func traceHistory(h *tracetest.Hash, list []Revision) {
	h.Step(stepHistory)
	h.Int(int64(len(list)))
	for _, r := range list {
		h.Uint(r.Revision)
		h.String(r.ID)
		h.String(r.Note)
		h.Int(r.AtMS)
		h.Bool(r.RevertTo != nil)
		if r.RevertTo != nil {
			h.Uint(*r.RevertTo)
		}
		h.Bytes(r.Hash[:])
		traceEntries(h, r.Put)
		traceStrings(h, r.Remove)
	}
}
