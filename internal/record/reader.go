package record

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// readChunkBytes is how much a Reader reads from its source at once.
const readChunkBytes = 64 << 10

var (
	// ErrNewerVersion is the error for a segment of a later version of the format.
	ErrNewerVersion = errors.New("of a newer version of the format")
	// ErrNoHeader is the error for data that does not begin with a Header.
	ErrNoHeader = errors.New("no header: not a segment of records")
)

// Damage is an unreadable range of a segment; the reader continues after it.
type Damage struct {
	Offset    int64 // in the segment, in bytes
	Bytes     int64
	Truncated bool // the range ends the segment: after a crash, or in a copy that was taken during a write
}

// String describes the damage as windflowctl prints it.
func (d Damage) String() string {
	if d.Truncated {
		return fmt.Sprintf("cut off at byte %d, %d bytes of a record are there", d.Offset, d.Bytes)
	}
	return fmt.Sprintf("damaged from byte %d on, %d bytes passed over", d.Offset, d.Bytes)
}

// Reader reads one segment in bounded memory, whatever the segment's size.
type Reader struct {
	source  io.Reader
	buf     []byte
	offset  int64 // of buf[0] in the segment
	eof     bool
	skipped int64 // bytes since the last readable record
	Header  Header
	Damage  []Damage
}

// NewReader reads a segment's header. It fails with ErrNewerVersion, with ErrNoHeader, or with io.EOF for a segment
// that ends before its header does. The reader that it returns with an error has the damage up to there.
func NewReader(source io.Reader) (*Reader, error) {
	reader := &Reader{source: source}
	first, err := reader.Next()
	if err != nil {
		return reader, err
	}
	header, ok := first.(*Header)
	if !ok {
		return reader, ErrNoHeader
	}
	reader.Header = *header
	if header.Version > Version {
		return reader, fmt.Errorf("%w (%d; this program reads up to %d)", ErrNewerVersion, header.Version, Version)
	}
	return reader, nil
}

// Next returns the next readable record, and io.EOF at the end of the segment. Damage lists the ranges that it skipped.
// Records of unknown kinds are ignored.
func (r *Reader) Next() (Record, error) {
	for {
		length, err := r.nextFrame()
		if err != nil {
			return nil, err
		}
		if length == 0 {
			r.skip(1)
			continue
		}
		kind, payload := Kind(r.buf[frameHeaderBytes]), r.buf[minFrameBytes:length]
		next := newRecord(kind)
		if next != nil && cbor.Unmarshal(payload, next) != nil {
			r.skip(1)
			continue
		}
		r.noteDamage(false)
		r.advance(length)
		if next != nil {
			return next, nil
		}
	}
}

// nextFrame returns the length of the intact frame at the start of the buffer, 0 where there is none, and io.EOF
// where the segment ends.
func (r *Reader) nextFrame() (length int, err error) {
	if err := r.fill(minFrameBytes); err != nil {
		return 0, err
	}
	if len(r.buf) < minFrameBytes {
		return 0, r.skipIncompleteFrame()
	}
	length, ok := frameLength(r.buf)
	if !ok {
		return 0, nil
	}
	if err := r.fill(length); err != nil {
		return 0, err
	}
	if len(r.buf) < length && r.skipped == 0 && !r.hasLaterFrame() {
		return 0, r.skipIncompleteFrame()
	}
	if !isIntactFrame(r.buf) {
		return 0, nil
	}
	return length, nil
}

// fill reads until the buffer has n bytes or the segment ends.
func (r *Reader) fill(n int) error {
	for len(r.buf) < n && !r.eof {
		chunk := make([]byte, readChunkBytes)
		m, err := r.source.Read(chunk)
		r.buf = append(r.buf, chunk[:m]...)
		switch {
		case errors.Is(err, io.EOF):
			r.eof = true
		case err != nil:
			return err
		}
	}
	return nil
}

// hasLaterFrame reports whether an intact frame follows an incomplete one: then the length of the latter is damaged,
// and the segment is not merely truncated.
func (r *Reader) hasLaterFrame() bool {
	for i := 1; i < len(r.buf); i++ {
		if isIntactFrame(r.buf[i:]) {
			return true
		}
	}
	return false
}

// skip drops unreadable bytes.
func (r *Reader) skip(n int) {
	r.advance(n)
	r.skipped += int64(n)
}

// skipIncompleteFrame skips the incomplete frame that ends the segment, and returns io.EOF.
func (r *Reader) skipIncompleteFrame() error {
	r.skip(len(r.buf))
	r.noteDamage(true)
	return io.EOF
}

func (r *Reader) advance(n int) {
	r.buf = r.buf[n:]
	r.offset += int64(n)
}

// noteDamage adds the bytes that were skipped up to here to Damage.
func (r *Reader) noteDamage(truncated bool) {
	if r.skipped > 0 {
		r.Damage = append(r.Damage, Damage{Offset: r.offset - r.skipped, Bytes: r.skipped, Truncated: truncated})
		r.skipped = 0
	}
}
