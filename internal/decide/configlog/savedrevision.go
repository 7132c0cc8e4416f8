package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// SavedRevision is the copy on disk of the revision that a follower had in force last.
type SavedRevision struct {
	Revision uint64                     `json:"revision"`
	Hash     Hash                       `json:"hash"`
	Checksum Hash                       `json:"sum"` // covers Revision and Hash; Hash covers the entries
	Entries  map[string]json.RawMessage `json:"entries"`
}

// checksum computes the correct value of Checksum.
func (s SavedRevision) checksum() Hash {
	text := binary.LittleEndian.AppendUint64([]byte("windflow saved\n"), s.Revision)
	return sha256.Sum256(append(text, s.Hash[:]...))
}
