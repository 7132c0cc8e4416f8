package arrowipc

import (
	"errors"
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"
)

// ErrMalformed means that a message violates the format or exceeds a limit of this package.
var ErrMalformed = errors.New("malformed Arrow message")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

const (
	// slotBase and slotSize give the position of a field in a FlatBuffers vtable.
	slotBase = 4
	slotSize = 2
	// offsetSize is the size of an element of a vector of tables, in bytes.
	offsetSize = 4
)

// table reads a FlatBuffers table. Reads beyond the message panic; Inspect recovers from that.
type table struct{ flatbuffers.Table }

// rootTable returns the table at the root of a message.
func rootTable(message []byte) table {
	return table{flatbuffers.Table{Bytes: message, Pos: flatbuffers.GetUOffsetT(message)}}
}

// position returns the position of a field's value, or 0 if the field is absent.
func (t table) position(field int) flatbuffers.UOffsetT {
	offset := t.Offset(flatbuffers.VOffsetT(slotBase + slotSize*field))
	if offset == 0 {
		return 0
	}
	return t.Pos + flatbuffers.UOffsetT(offset)
}

// slot returns the position of a field's entry in the vtable. The field must be present.
func (t table) slot(field int) int {
	return int(t.Pos) - int(t.GetSOffsetT(t.Pos)) + slotBase + slotSize*field
}

// child returns the table that a field refers to; ok is false if the field is absent.
func (t table) child(field int) (child table, ok bool) {
	position := t.position(field)
	if position == 0 {
		return table{}, false
	}
	return table{flatbuffers.Table{Bytes: t.Bytes, Pos: t.Indirect(position)}}, true
}

// vector returns the position of a vector's first element and the number of elements. A vector that does not lie within
// the message is an error, because Arrow allocates memory for its length first.
func (t table) vector(field, elementSize int) (start flatbuffers.UOffsetT, length int, err error) {
	offset := t.Offset(flatbuffers.VOffsetT(slotBase + slotSize*field))
	if offset == 0 {
		return 0, 0, nil
	}
	start, length = t.Vector(flatbuffers.UOffsetT(offset)), t.VectorLen(flatbuffers.UOffsetT(offset))
	if length < 0 || int64(start)+int64(length)*int64(elementSize) > int64(len(t.Bytes)) {
		return 0, 0, malformed("a vector of %d elements does not fit into its message", length)
	}
	return start, length, nil
}

// children calls visit for each table of a vector.
func (t table) children(field int, visit func(table) error) error {
	start, length, err := t.vector(field, offsetSize)
	for i := 0; i < length && err == nil; i++ {
		position := start + flatbuffers.UOffsetT(i*offsetSize)
		err = visit(table{flatbuffers.Table{Bytes: t.Bytes, Pos: t.Indirect(position)}})
	}
	return err
}

// text returns the bytes of a string, which are part of the message.
func (t table) text(field int) []byte {
	position := t.position(field)
	if position == 0 {
		return nil
	}
	return t.ByteVector(position)
}

// integer returns a 64-bit integer, or 0 if the field is absent.
func (t table) integer(field int) int64 {
	if position := t.position(field); position != 0 {
		return t.GetInt64(position)
	}
	return 0
}

// integer32 returns a 32-bit integer, or 0 if the field is absent.
func (t table) integer32(field int) int32 {
	if position := t.position(field); position != 0 {
		return t.GetInt32(position)
	}
	return 0
}

// octet returns an 8-bit value, or 0 if the field is absent.
func (t table) octet(field int) byte {
	if position := t.position(field); position != 0 {
		return t.GetByte(position)
	}
	return 0
}
