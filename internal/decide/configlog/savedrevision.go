package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// SavedRevision is a follower's copy on disk of the revision that was in force last.
type SavedRevision struct {
	Revision uint64                     `json:"revision"`
	Hash     Hash                       `json:"hash"`
	Checksum Hash                       `json:"sum"` // of Revision and Hash, which the entries' hash doesn't cover
	Entries  map[string]json.RawMessage `json:"entries"`
}

// checksum returns what Checksum has to be.
func (s SavedRevision) checksum() Hash {
	text := binary.LittleEndian.AppendUint64([]byte("windflow saved\n"), s.Revision)
	return sha256.Sum256(append(text, s.Hash[:]...))
}
