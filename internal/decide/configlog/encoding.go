package configlog

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// stateMagic is the prefix of an encoded Log; the last byte is the format version.
var stateMagic = []byte("wfrollout\x01")

// MarshalBinary returns the complete state followed by a checksum. Equal states have equal encodings. The error is
// always nil.
func (l *Log) MarshalBinary() ([]byte, error) {
	capacity := len(stateMagic) + 2*l.document.bytes + l.history.bytes + 64*len(l.ids.applied) + 1024
	out := &encoder{buffer: make([]byte, 0, capacity)}
	out.bytes(stateMagic)
	out.number(uint64(l.history.retention.Revisions))
	out.number(uint64(l.history.retention.Bytes))
	out.number(l.history.oldest)
	out.bytes(l.history.oldestHash[:])
	out.number(uint64(len(l.document.entries)))
	for _, pointer := range slices.Sorted(maps.Keys(l.document.entries)) {
		out.text(pointer)
		out.optional(l.document.entries[pointer])
	}
	out.bytes(l.document.hash[:])
	out.number(uint64(len(l.history.records)))
	for _, r := range l.history.records {
		out.record(r)
	}
	out.number(uint64(len(l.ids.order)))
	for _, id := range l.ids.order {
		applied := l.ids.applied[id]
		out.text(id)
		out.number(applied.revision)
		out.bytes(applied.digest[:])
	}
	names := l.Members()
	out.number(uint64(len(names)))
	for _, name := range names {
		out.text(name)
		out.text(l.members[name].latest)
		out.text(l.members[name].previous)
	}
	checksum := sha256.Sum256(out.buffer)
	return append(out.buffer, checksum[:]...), nil
}

// UnmarshalBinary replaces the Log, including its retention, by a state that MarshalBinary returned. If the state is
// invalid, it returns an error that wraps ErrDamaged and leaves the Log unchanged.
func (l *Log) UnmarshalBinary(state []byte) error {
	body, err := stateBody(state)
	if err != nil {
		return err
	}
	input := &decoder{buffer: body}
	decoded := NewLog(Retention{Revisions: int(input.number()), Bytes: int(input.number())})
	decoded.history.oldest, decoded.history.oldestHash = input.number(), input.hash()
	for range input.count() {
		decoded.document.put(input.text(), input.optional())
	}
	if hash := input.hash(); input.err == nil && hash != decoded.document.hash {
		return fmt.Errorf("%w: the entries have hash %s, but the state records %s",
			ErrDamaged, decoded.document.hash, hash)
	}
	for range input.count() {
		decoded.history.add(input.record())
	}
	for range input.count() {
		id := input.text()
		decoded.ids.applied[id] = appliedChange{revision: input.number(), digest: input.hash()}
		decoded.ids.order = append(decoded.ids.order, id)
	}
	for range input.count() {
		decoded.members[input.text()] = memberProcesses{latest: input.text(), previous: input.text()}
	}
	if input.err == nil && !decoded.isContentAt(decoded.Revision(), decoded.document.hash) {
		return fmt.Errorf("%w: the hash of the latest revision is not that of the entries", ErrDamaged)
	}
	if err := input.finish(); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	*l = *decoded
	return nil
}

// stateBody checks the magic, the format version and the checksum of an encoded Log, and returns the bytes in between.
func stateBody(state []byte) ([]byte, error) {
	end, magicEnd := len(state)-sha256.Size, len(stateMagic)
	switch {
	case end < magicEnd:
		return nil, fmt.Errorf("%w: the state has %d bytes, fewer than the minimum of %d",
			ErrDamaged, len(state), magicEnd+sha256.Size)
	case !bytes.Equal(state[:magicEnd-1], stateMagic[:magicEnd-1]):
		return nil, fmt.Errorf("%w: the data is not the state of a configuration log", ErrDamaged)
	case state[magicEnd-1] != stateMagic[magicEnd-1]:
		return nil, fmt.Errorf("%w: the state has format version %d; this program reads version %d",
			ErrDamaged, state[magicEnd-1], stateMagic[magicEnd-1])
	case sha256.Sum256(state[:end]) != [sha256.Size]byte(state[end:]):
		return nil, fmt.Errorf("%w: the checksum does not match the state", ErrDamaged)
	}
	return state[magicEnd:end], nil
}
