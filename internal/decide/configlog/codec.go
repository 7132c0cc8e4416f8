package configlog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
)

// errTruncated means that a state has fewer bytes than its encoded lengths require.
var errTruncated = errors.New("the state is truncated")

// encoder appends encoded numbers, strings and records to a buffer.
type encoder struct{ buffer []byte }

func (e *encoder) number(n uint64) { e.buffer = binary.AppendUvarint(e.buffer, n) }

// bytes appends bytes without their length, which the decoder must know.
func (e *encoder) bytes(b []byte) { e.buffer = append(e.buffer, b...) }

func (e *encoder) text(s string) {
	e.number(uint64(len(s)))
	e.buffer = append(e.buffer, s...)
}

// optional appends a value that may be nil. The encoded length is one higher than the actual one, because 0 means nil.
func (e *encoder) optional(value json.RawMessage) {
	if value == nil {
		e.number(0)
		return
	}
	e.number(uint64(len(value)) + 1)
	e.bytes(value)
}

func (e *encoder) record(r record) {
	e.text(r.id)
	e.text(r.note)
	e.number(uint64(r.atMS))
	if r.revertTo == nil {
		e.number(0)
	} else {
		e.number(1)
		e.number(*r.revertTo)
	}
	e.bytes(r.hash[:])
	e.number(uint64(len(r.edits)))
	for _, change := range r.edits {
		e.text(change.pointer)
		e.optional(change.before)
		e.optional(change.after)
	}
}

// decoder reads what encoder wrote. After the first error all methods return zero values.
type decoder struct {
	buffer []byte // bytes not read yet
	err    error  // the first error
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.buffer)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.buffer = d.buffer[size:]
	return n
}

// count reads a number of items. Each item takes at least one byte, so a number greater than that of the remaining
// bytes is an error. This keeps a damaged state from causing an endless loop.
func (d *decoder) count() uint64 {
	n := d.number()
	if n > uint64(len(d.buffer)) {
		d.fail()
		return 0
	}
	return n
}

func (d *decoder) bytes(n uint64) []byte {
	if n > uint64(len(d.buffer)) {
		d.fail()
		return nil
	}
	out := d.buffer[:n]
	d.buffer = d.buffer[n:]
	return out
}

func (d *decoder) text() string { return string(d.bytes(d.number())) }

func (d *decoder) optional() json.RawMessage {
	n := d.number()
	if n == 0 {
		return nil
	}
	return append(json.RawMessage{}, d.bytes(n-1)...)
}

func (d *decoder) hash() (h Hash) {
	copy(h[:], d.bytes(uint64(len(h))))
	return h
}

func (d *decoder) record() record {
	out := record{id: d.text(), note: d.text(), atMS: int64(d.number())}
	if d.number() == 1 {
		revertTo := d.number()
		out.revertTo = &revertTo
	}
	out.hash = d.hash()
	for range d.count() {
		out.edits = append(out.edits, edit{pointer: d.text(), before: d.optional(), after: d.optional()})
	}
	return out
}

// finish returns the first error, or an error if bytes are left.
func (d *decoder) finish() error {
	if d.err == nil && len(d.buffer) > 0 {
		return fmt.Errorf("%d unexpected bytes follow the state", len(d.buffer))
	}
	return d.err
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = errTruncated
	}
	d.buffer = nil
}
