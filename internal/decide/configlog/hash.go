package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"
)

// Hash stands for the content of a document: the sum, modulo 2^256, of the SHA-256 of each entry. The order of the entries
// doesn't matter, and a change of one costs two digests however large the document is. The empty document has the zero Hash.
// It guards against faults of programs, wires and disks; it is no defence against someone who wants two documents to agree.
type Hash [32]byte

// String gives the hash as 64 hex digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText gives the hash as 64 hex digits; it never fails.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads 64 hex digits, and says what is wrong with others.
func (h *Hash) UnmarshalText(text []byte) error {
	var read Hash
	if len(text) != 2*len(read) {
		return fmt.Errorf("a hash has %d hex digits, not %d", 2*len(read), len(text))
	}
	if _, err := hex.Decode(read[:], text); err != nil {
		return fmt.Errorf("a hash is made of hex digits: %w", err)
	}
	*h = read
	return nil
}

// plus and minus add and take away in 256 bits, the least significant eight bytes first.
func (h Hash) plus(o Hash) Hash  { return h.reckon(o, bits.Add64) }
func (h Hash) minus(o Hash) Hash { return h.reckon(o, bits.Sub64) }

func (h Hash) reckon(o Hash, lane func(x, y, carry uint64) (uint64, uint64)) (out Hash) {
	var carry, v uint64
	for i := 0; i < len(h); i += 8 {
		v, carry = lane(binary.LittleEndian.Uint64(h[i:]), binary.LittleEndian.Uint64(o[i:]), carry)
		binary.LittleEndian.PutUint64(out[i:], v)
	}
	return out
}

// digest is what one entry adds to the hash. The length goes first, so that no other split of the same bytes into a pointer
// and a value has the same digest.
func digest(pointer string, value json.RawMessage) Hash {
	var short [256]byte // most entries need no memory of their own
	b := binary.LittleEndian.AppendUint32(short[:0], uint32(len(pointer)))
	b = append(append(b, pointer...), value...)
	return sha256.Sum256(b)
}

// HashEntries reckons the hash of a whole document anew, at the cost of one digest an entry. The values have to be in the form
// that a Log gives out; the same value in other words has another hash.
func HashEntries(entries map[string]json.RawMessage) (h Hash) {
	for p, v := range entries {
		h = h.plus(digest(p, v))
	}
	return h
}
