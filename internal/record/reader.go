package record

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// readChunkBytes is the size of a single read from the source of a Reader.
const readChunkBytes = 64 << 10

var (
	// ErrNewerVersion is the error for a segment in a later version of the format than this program reads.
	ErrNewerVersion = errors.New("of a newer version of the format")
	// ErrNoHeader is the error for data that does not begin with a Header.
	ErrNoHeader = errors.New("no header: not a segment of records")
)

// Damage is an unreadable range of a segment. The reader continues after it.
type Damage struct {
	Offset    int64 // of the first unreadable byte in the segment
	Bytes     int64
	Truncated bool // the segment ends in the range, because of a crash or a copy made during a write
}

// String describes the damage as windflowctl prints it.
func (d Damage) String() string {
	if d.Truncated {
		return fmt.Sprintf("cut off at byte %d, %d bytes of a record are there", d.Offset, d.Bytes)
	}
	return fmt.Sprintf("damaged from byte %d on, %d bytes passed over", d.Offset, d.Bytes)
}

// Reader reads the records of one segment. Its memory is bounded for a segment of any size.
type Reader struct {
	source  io.Reader
	buf     []byte // read from source and not processed yet
	offset  int64  // of buf[0] in the segment
	eof     bool
	skipped int64 // unreadable bytes since the last readable record
	Header  Header
	Damage  []Damage
}

// NewReader returns a reader that has read the header of a segment. It fails with ErrNewerVersion, with ErrNoHeader,
// with io.EOF if the segment ends before its header is complete, or with an error of source. The reader that it returns
// with an error lists the damage found so far.
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

// Next returns the next readable record. It fails with io.EOF at the end of the segment, or with an error of the
// source. It adds the unreadable ranges that it skips to Damage, and ignores records of unknown kinds.
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

// nextFrame returns the length of the intact frame at the start of the buffer, or 0 if there is none. It fails with
// io.EOF at the end of the segment.
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

// fill reads until the buffer has at least n bytes or the segment ends.
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

// hasLaterFrame reports whether an intact frame begins after the start of the buffer. If so, an incomplete frame at the
// start has a damaged length, and the segment was not truncated there.
func (r *Reader) hasLaterFrame() bool {
	for i := 1; i < len(r.buf); i++ {
		if isIntactFrame(r.buf[i:]) {
			return true
		}
	}
	return false
}

// skip drops n unreadable bytes from the buffer and counts them.
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

// noteDamage adds the bytes skipped since the last readable record to Damage.
func (r *Reader) noteDamage(truncated bool) {
	if r.skipped > 0 {
		r.Damage = append(r.Damage, Damage{Offset: r.offset - r.skipped, Bytes: r.skipped, Truncated: truncated})
		r.skipped = 0
	}
}
