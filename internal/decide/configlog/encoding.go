package configlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// magic begins a marshalled Log; its last byte is the version of the form.
var magic = []byte("wfrollout\x01")

// MarshalBinary gives the whole state with a checksum behind it. The same state gives the same bytes. It never fails.
func (l *Log) MarshalBinary() ([]byte, error) {
	w := &writer{b: make([]byte, 0, len(magic)+2*l.size+l.kept+64*len(l.ids)+1024)}
	w.b = append(w.b, magic...)
	w.number(uint64(l.terms.Revisions))
	w.number(uint64(l.terms.Bytes))
	w.number(l.oldest)
	w.b = append(w.b, l.before[:]...)
	w.number(uint64(len(l.entries)))
	for _, p := range slices.Sorted(maps.Keys(l.entries)) {
		w.text(p)
		w.optional(l.entries[p])
	}
	w.b = append(w.b, l.hash[:]...)
	w.number(uint64(len(l.records)))
	for _, r := range l.records {
		w.record(r)
	}
	w.number(uint64(len(l.idOrder)))
	for _, id := range l.idOrder {
		m := l.ids[id]
		w.text(id)
		w.number(m.revision)
		w.b = append(w.b, m.sum[:]...)
	}
	roster := l.Members()
	w.number(uint64(len(roster)))
	for _, n := range roster {
		w.text(n)
		w.text(l.roster[n][0])
		w.text(l.roster[n][1])
	}
	sum := sha256.Sum256(w.b)
	return append(w.b, sum[:]...), nil
}

// UnmarshalBinary takes over a state that MarshalBinary gave, with its terms. An error, which wraps ErrDamaged, says what is
// wrong with the state and leaves the Log as it was.
func (l *Log) UnmarshalBinary(state []byte) error {
	body := len(state) - sha256.Size
	switch {
	case body < len(magic):
		return fmt.Errorf("%w: the state has %d bytes and ends early", ErrDamaged, len(state))
	case !bytes.Equal(state[:len(magic)-1], magic[:len(magic)-1]):
		return fmt.Errorf("%w: this is no state of a configuration log", ErrDamaged)
	case state[len(magic)-1] != magic[len(magic)-1]:
		return fmt.Errorf("%w: the state has form %d, this program reads %d", ErrDamaged, state[len(magic)-1], magic[len(magic)-1])
	case sha256.Sum256(state[:body]) != [sha256.Size]byte(state[body:]):
		return fmt.Errorf("%w: the state doesn't have the checksum that it says", ErrDamaged)
	}
	r := &reader{b: state[len(magic):body]}
	n := NewLog(Retention{Revisions: int(r.number()), Bytes: int(r.number())})
	n.oldest, n.before = r.number(), r.hash()
	for range r.count() {
		n.put(r.text(), r.optional())
	}
	if h := r.hash(); r.err == nil && h != n.hash {
		return fmt.Errorf("%w: the entries don't have the hash that the state says", ErrDamaged)
	}
	for range r.count() {
		rec := r.record()
		n.records = append(n.records, rec)
		n.kept += rec.bytes()
	}
	for range r.count() {
		id := r.text()
		n.ids[id] = made{revision: r.number(), sum: r.hash()}
		n.idOrder = append(n.idOrder, id)
	}
	for range r.count() {
		n.roster[r.text()] = [2]string{r.text(), r.text()}
	}
	if h, _ := n.hashAt(n.Revision()); r.err == nil && h != n.hash {
		return fmt.Errorf("%w: the last revision doesn't have the hash of the entries", ErrDamaged)
	}
	if r.err == nil && len(r.b) > 0 {
		r.err = fmt.Errorf("%d bytes are left over", len(r.b))
	}
	if r.err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, r.err)
	}
	*l = *n
	return nil
}

// writer appends numbers, texts and records.
type writer struct{ b []byte }

func (w *writer) number(n uint64) { w.b = binary.AppendUvarint(w.b, n) }

func (w *writer) text(s string) {
	w.number(uint64(len(s)))
	w.b = append(w.b, s...)
}

// optional tells nothing from an empty text.
func (w *writer) optional(v json.RawMessage) {
	if v == nil {
		w.number(0)
		return
	}
	w.number(uint64(len(v)) + 1)
	w.b = append(w.b, v...)
}

func (w *writer) record(r record) {
	w.text(r.id)
	w.text(r.note)
	w.number(uint64(r.atMS))
	if r.revertTo == nil {
		w.number(0)
	} else {
		w.number(1)
		w.number(*r.revertTo)
	}
	w.b = append(w.b, r.hash[:]...)
	w.number(uint64(len(r.edits)))
	for _, e := range r.edits {
		w.text(e.pointer)
		w.optional(e.was)
		w.optional(e.now)
	}
}

// reader takes apart what writer wrote. After its first error it gives zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.b = r.b[size:]
	return n
}

// count reads a number of things that each have a byte at least, so that a wrong one can't ask for more than is there.
func (r *reader) count() uint64 {
	n := r.number()
	if n > uint64(len(r.b)) {
		r.fail()
		return 0
	}
	return n
}

func (r *reader) take(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.fail()
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) text() string { return string(r.take(r.number())) }

func (r *reader) optional() json.RawMessage {
	n := r.number()
	if n == 0 {
		return nil
	}
	return append(json.RawMessage{}, r.take(n-1)...)
}

func (r *reader) hash() (h Hash) {
	copy(h[:], r.take(uint64(len(h))))
	return h
}

func (r *reader) record() record {
	out := record{id: r.text(), note: r.text(), atMS: int64(r.number())}
	if r.number() == 1 {
		to := r.number()
		out.revertTo = &to
	}
	out.hash = r.hash()
	for range r.count() {
		out.edits = append(out.edits, edit{pointer: r.text(), was: r.optional(), now: r.optional()})
	}
	return out
}

func (r *reader) fail() {
	if r.err == nil {
		r.err = fmt.Errorf("it ends early")
	}
	r.b = nil
}
