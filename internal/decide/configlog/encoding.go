package configlog

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// stateMagic begins an encoded Log; its last byte is the version of the format.
var stateMagic = []byte("wfrollout\x01")

// MarshalBinary returns the complete state followed by a checksum. The same state has the same bytes. The error is
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

// UnmarshalBinary replaces the Log by a state of MarshalBinary, with its retention. An error wraps ErrDamaged, says
// what is wrong with the state, and leaves the Log as it was.
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
		return fmt.Errorf("%w: the entries don't have the hash that the state says", ErrDamaged)
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
		return fmt.Errorf("%w: the last revision doesn't have the hash of the entries", ErrDamaged)
	}
	if err := input.finish(); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	*l = *decoded
	return nil
}

// stateBody checks the frame of an encoded Log and returns what is between the magic and the checksum.
func stateBody(state []byte) ([]byte, error) {
	end, magicEnd := len(state)-sha256.Size, len(stateMagic)
	switch {
	case end < magicEnd:
		return nil, fmt.Errorf("%w: the state has %d bytes and ends early", ErrDamaged, len(state))
	case !bytes.Equal(state[:magicEnd-1], stateMagic[:magicEnd-1]):
		return nil, fmt.Errorf("%w: this is no state of a configuration log", ErrDamaged)
	case state[magicEnd-1] != stateMagic[magicEnd-1]:
		return nil, fmt.Errorf("%w: the state has form %d, this program reads %d",
			ErrDamaged, state[magicEnd-1], stateMagic[magicEnd-1])
	case sha256.Sum256(state[:end]) != [sha256.Size]byte(state[end:]):
		return nil, fmt.Errorf("%w: the state doesn't have the checksum that it says", ErrDamaged)
	}
	return state[magicEnd:end], nil
}
