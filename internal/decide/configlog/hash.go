package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"
)

// Hash identifies the content of a document: it is the sum, modulo 2^256, of the SHA-256 of each entry. The order of
// the entries does not matter, and changing an entry costs two digests regardless of the size of the document. The
// empty document has the zero Hash. The hash detects faults of programs, networks and disks; it is not
// collision-resistant against attackers.
type Hash [32]byte

// String returns the hash as 64 hex digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash as 64 hex digits; the error is always nil.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses 64 hex digits. It returns an error for any other text and leaves the hash unchanged then.
func (h *Hash) UnmarshalText(text []byte) error {
	var decoded Hash
	if len(text) != 2*len(decoded) {
		return fmt.Errorf("a hash has %d hex digits, not %d", 2*len(decoded), len(text))
	}
	if _, err := hex.Decode(decoded[:], text); err != nil {
		return fmt.Errorf("a hash consists of hex digits: %w", err)
	}
	*h = decoded
	return nil
}

// plus and minus add and subtract modulo 2^256; the hashes are little-endian numbers.
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

// entryDigest returns the digest of one entry, which is a summand of the document's hash. It covers the length of the
// pointer, so that splitting the same bytes into another pointer and value gives another digest.
func entryDigest(pointer string, value json.RawMessage) Hash {
	var buffer [256]byte // avoids an allocation for most entries, which fit
	text := binary.LittleEndian.AppendUint32(buffer[:0], uint32(len(pointer)))
	text = append(text, pointer...)
	text = append(text, value...)
	return sha256.Sum256(text)
}

// HashEntries returns the hash of a complete document. It computes one digest for each entry. The values must be in
// canonical form, as a Log returns them: the same value in another form has another hash.
func HashEntries(entries map[string]json.RawMessage) (h Hash) {
	for pointer, value := range entries {
		h = h.plus(entryDigest(pointer, value))
	}
	return h
}
