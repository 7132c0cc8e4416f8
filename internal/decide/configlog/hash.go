package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"
)

// Hash identifies the content of a document: the sum, modulo 2^256, of the SHA-256 of each entry. The order of the
// entries doesn't matter, and a change of one costs two digests however large the document is. The empty document has
// the zero Hash. It detects faults of programs, networks and disks; it is no defence against someone who wants two
// documents to collide.
type Hash [32]byte

// String returns the hash as 64 hex digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash as 64 hex digits; the error is always nil.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads 64 hex digits; anything else is an error.
func (h *Hash) UnmarshalText(text []byte) error {
	var decoded Hash
	if len(text) != 2*len(decoded) {
		return fmt.Errorf("a hash has %d hex digits, not %d", 2*len(decoded), len(text))
	}
	if _, err := hex.Decode(decoded[:], text); err != nil {
		return fmt.Errorf("a hash is made of hex digits: %w", err)
	}
	*h = decoded
	return nil
}

// plus and minus add and subtract in 256 bits, the least significant eight bytes first.
func (h Hash) plus(other Hash) Hash  { return h.combine(other, bits.Add64) }
func (h Hash) minus(other Hash) Hash { return h.combine(other, bits.Sub64) }

func (h Hash) combine(other Hash, combineWord func(x, y, carry uint64) (uint64, uint64)) (out Hash) {
	var carry, sum uint64
	for i := 0; i < len(h); i += 8 {
		sum, carry = combineWord(binary.LittleEndian.Uint64(h[i:]), binary.LittleEndian.Uint64(other[i:]), carry)
		binary.LittleEndian.PutUint64(out[i:], sum)
	}
	return out
}

// entryDigest returns what one entry adds to the hash. The length goes first, so that no other split of the same bytes
// into a pointer and a value has the same digest.
func entryDigest(pointer string, value json.RawMessage) Hash {
	var buffer [256]byte // most entries fit, and need no allocation
	text := binary.LittleEndian.AppendUint32(buffer[:0], uint32(len(pointer)))
	text = append(text, pointer...)
	text = append(text, value...)
	return sha256.Sum256(text)
}

// HashEntries returns the hash of a complete document, at the cost of one digest an entry. The values have to be in
// the form that a Log returns; the same value in another form has another hash.
func HashEntries(entries map[string]json.RawMessage) (h Hash) {
	for pointer, value := range entries {
		h = h.plus(entryDigest(pointer, value))
	}
	return h
}
