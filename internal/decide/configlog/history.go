package configlog

import (
	"encoding/json"
	"fmt"
	"slices"

	"windflow/internal/decide/configerror"
)

// Retention limits how many past changes a Log retains for deltas, history and reverts. All replicas must have the same
// retention, because it decides whether a revert is possible; an encoded state therefore includes it. A value of zero
// or below means that of DefaultRetention.
type Retention struct {
	Revisions int `json:"revisions"` // maximum number of retained changes
	Bytes     int `json:"bytes"`     // maximum estimated size of the retained changes; the latest is always retained
}

// DefaultRetention covers more than a day at 1,500 changes a day.
var DefaultRetention = Retention{Revisions: 2_000, Bytes: 8 << 20}

// orDefault replaces values of zero or below by those of DefaultRetention.
func (r Retention) orDefault() Retention {
	if r.Revisions <= 0 {
		r.Revisions = DefaultRetention.Revisions
	}
	if r.Bytes <= 0 {
		r.Bytes = DefaultRetention.Bytes
	}
	return r
}

// Revision is an applied change as Log.History returns it. Put and Remove are the difference from the previous
// revision, also for a revert.
type Revision struct {
	Revision uint64                     `json:"revision"`
	ID       string                     `json:"id"`
	Note     string                     `json:"note,omitempty"`
	AtMS     int64                      `json:"at_ms"` // Unix milliseconds on the proposing keeper's clock
	RevertTo *uint64                    `json:"revert_to,omitempty"`
	Hash     Hash                       `json:"hash"` // the hash of the complete document at this revision
	Put      map[string]json.RawMessage `json:"put,omitempty"`
	Remove   []string                   `json:"remove,omitempty"`
}

// recordOverheadBytes is the estimated size of a record without its strings and values.
const recordOverheadBytes = 200

// record is the change that created a revision, with the hash of the document after it.
type record struct {
	id, note string
	atMS     int64 // Unix milliseconds
	revertTo *uint64
	hash     Hash
	edits    []edit // sorted by pointer
}

// bytes returns the estimated size of the record.
func (r *record) bytes() int {
	n := recordOverheadBytes + len(r.id) + len(r.note)
	for _, e := range r.edits {
		n += len(e.pointer) + len(e.before) + len(e.after)
	}
	return n
}

// revision returns the record in the form of Log.History.
func (r *record) revision(number uint64) Revision {
	out := Revision{Revision: number, ID: r.id, Note: r.note, AtMS: r.atMS, RevertTo: r.revertTo, Hash: r.hash}
	for _, e := range r.edits {
		if e.after == nil {
			out.Remove = append(out.Remove, e.pointer)
			continue
		}
		if out.Put == nil {
			out.Put = map[string]json.RawMessage{}
		}
		out.Put[e.pointer] = e.after
	}
	return out
}

// history holds the retained changes of a log.
type history struct {
	retention  Retention
	oldest     uint64   // the oldest revision whose content can be restored; records[0] follows it
	oldestHash Hash     // the hash of the document at oldest
	records    []record // oldest first
	bytes      int      // estimated size of records
}

// latest returns the revision in force.
func (h *history) latest() uint64 { return h.oldest + uint64(len(h.records)) }

// add appends the record of the next revision.
func (h *history) add(r record) {
	h.records = append(h.records, r)
	h.bytes += r.bytes()
}

// compact drops the oldest records that exceed the retention, but never the latest record.
func (h *history) compact() {
	drop, last := 0, len(h.records)-1
	for drop < last && (len(h.records)-drop > h.retention.Revisions || h.bytes > h.retention.Bytes) {
		h.bytes -= h.records[drop].bytes()
		drop++
	}
	if drop > 0 {
		h.oldest += uint64(drop)
		h.oldestHash = h.records[drop-1].hash
		h.records = slices.Delete(h.records, 0, drop)
	}
}

// checkRetained returns an error of kind Compacted for a revision that is no longer retained, and of kind Invalid for
// one that does not exist yet.
func (h *history) checkRetained(revision uint64) *configerror.Error {
	switch latest := h.latest(); {
	case revision < h.oldest:
		return &configerror.Error{
			Kind: configerror.Compacted, Revision: h.oldest,
			Reason: fmt.Sprintf("revision %d is no longer kept, the oldest is %d", revision, h.oldest),
		}
	case revision > latest:
		return &configerror.Error{
			Kind: configerror.Invalid, Revision: latest,
			Reason: fmt.Sprintf("there is no revision %d yet, the latest is %d", revision, latest),
		}
	}
	return nil
}

// hashAt returns the hash of the document at a revision, and whether the revision is retained.
func (h *history) hashAt(revision uint64) (Hash, bool) {
	switch {
	case revision < h.oldest || revision > h.latest():
		return Hash{}, false
	case revision == h.oldest:
		return h.oldestHash, true
	}
	return h.records[revision-h.oldest-1].hash, true
}

// since returns the records after a revision, oldest first. The revision must be retained.
func (h *history) since(revision uint64) []record { return h.records[revision-h.oldest:] }

// valuesAt returns the values that the entries changed after a revision had at that revision; nil means that there was
// no entry. The revision must be retained.
func (h *history) valuesAt(revision uint64) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	for _, r := range slices.Backward(h.since(revision)) {
		for _, e := range r.edits {
			values[e.pointer] = e.before
		}
	}
	return values
}

// list returns at most limit retained revisions starting at from, oldest first.
func (h *history) list(from uint64, limit int) []Revision {
	out := []Revision{}
	for number := max(from, h.oldest+1); number <= h.latest() && len(out) < limit; number++ {
		out = append(out, h.records[number-h.oldest-1].revision(number))
	}
	return out
}
