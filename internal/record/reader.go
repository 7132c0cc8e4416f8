package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	frameHead = 8
	// maxFrame bounds a record: a second of 4,096 engines and as many rows fits.
	maxFrame = 1 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

func kindOf(r Record) Kind {
	switch r.(type) {
	case *Header:
		return KindHeader
	case *EngineChange:
		return KindEngineChange
	case *Interval:
		return KindInterval
	case *RequestFailure:
		return KindRequestFailure
	case *Event:
		return KindEvent
	case *Gap:
		return KindGap
	}
	return 0
}

func empty(k Kind) Record {
	switch k {
	case KindHeader:
		return &Header{}
	case KindEngineChange:
		return &EngineChange{}
	case KindInterval:
		return &Interval{}
	case KindRequestFailure:
		return &RequestFailure{}
	case KindEvent:
		return &Event{}
	case KindGap:
		return &Gap{}
	}
	return nil
}

// appendFrame appends a record's frame.
func appendFrame(b []byte, r Record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return b, err
	}
	if len(payload) >= maxFrame {
		return b, fmt.Errorf("a record of %d bytes", len(payload))
	}
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)+1))
	b = append(b, 0, 0, 0, 0, byte(kindOf(r)))
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[at+4:], crc32.Checksum(b[at+frameHead:], table))
	return b, nil
}

// ErrNewerVersion says that a segment is of a later version of the format.
var ErrNewerVersion = errors.New("of a newer version of the format")

// Damage is a stretch of a segment that can't be read; what follows it is.
type Damage struct {
	Offset    int64 // of the segment, in bytes
	Bytes     int64
	Truncated bool // it is the segment's end: a kill, or a copy while it was written
}

func (d Damage) String() string {
	if d.Truncated {
		return fmt.Sprintf("cut off at byte %d, %d bytes of a record are there", d.Offset, d.Bytes)
	}
	return fmt.Sprintf("damaged from byte %d on, %d bytes passed over", d.Offset, d.Bytes)
}

// Reader reads one segment in memory of its own, whatever the segment's size.
type Reader struct {
	src    io.Reader
	buf    []byte
	offset int64 // of buf[0] in the segment
	eof    bool
	bad    int64 // bytes passed over since the last good record
	Header Header
	Damage []Damage
}

// NewReader reads a segment's header. An error says that there is none that can be used: ErrNewer, or io.EOF for a
// segment that ends before its header does.
func NewReader(src io.Reader) (*Reader, error) {
	r := &Reader{src: src}
	first, err := r.Next()
	if err != nil {
		return r, err
	}
	h, ok := first.(*Header)
	if !ok {
		return r, errors.New("no header: not a segment of records")
	}
	r.Header = *h
	if h.Version > Version {
		return r, fmt.Errorf("%w (%d; this program reads up to %d)", ErrNewerVersion, h.Version, Version)
	}
	return r, nil
}

// fill reads until n bytes are there or the segment ends.
func (r *Reader) fill(n int) error {
	for len(r.buf) < n && !r.eof {
		chunk := make([]byte, 64<<10)
		m, err := r.src.Read(chunk)
		r.buf = append(r.buf, chunk[:m]...)
		if err == io.EOF {
			r.eof = true
		} else if err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) skip(n int) {
	r.buf = r.buf[n:]
	r.offset += int64(n)
}

// Next gives the next record that can be read; io.EOF at the segment's end. What it had to pass over is in Damage.
func (r *Reader) Next() (Record, error) {
	for {
		if err := r.fill(frameHead + 1); err != nil {
			return nil, err
		}
		if len(r.buf) < frameHead+1 {
			r.pass(len(r.buf), true)
			return nil, io.EOF
		}
		n := int(binary.BigEndian.Uint32(r.buf))
		if n < 1 || n > maxFrame {
			r.pass(1, false)
			continue
		}
		if err := r.fill(frameHead + n); err != nil {
			return nil, err
		}
		if len(r.buf) < frameHead+n || crc32.Checksum(r.buf[frameHead:frameHead+n], table) != binary.BigEndian.Uint32(r.buf[4:]) {
			if len(r.buf) < frameHead+n && r.bad == 0 && !r.resumes() {
				r.pass(len(r.buf), true)
				return nil, io.EOF
			}
			r.pass(1, false)
			continue
		}
		k, payload := Kind(r.buf[frameHead]), r.buf[frameHead+1:frameHead+n]
		rec := empty(k)
		if rec != nil && cbor.Unmarshal(payload, rec) != nil {
			r.pass(1, false)
			continue
		}
		r.settle(false)
		r.skip(frameHead + n)
		if rec == nil {
			continue // of a kind that came later
		}
		return rec, nil
	}
}

// resumes tells whether a whole frame follows in what is left of the segment: then its length is damaged, and it is not
// merely cut off.
func (r *Reader) resumes() bool {
	for i := 1; i+frameHead < len(r.buf); i++ {
		n := int(binary.BigEndian.Uint32(r.buf[i:]))
		if n >= 1 && n <= maxFrame && i+frameHead+n <= len(r.buf) &&
			crc32.Checksum(r.buf[i+frameHead:i+frameHead+n], table) == binary.BigEndian.Uint32(r.buf[i+4:]) {
			return true
		}
	}
	return false
}

// pass passes over bytes that can't be read.
func (r *Reader) pass(n int, cut bool) {
	r.skip(n)
	r.bad += int64(n)
	if cut {
		r.settle(true)
	}
}

func (r *Reader) settle(cut bool) {
	if r.bad > 0 {
		r.Damage = append(r.Damage, Damage{Offset: r.offset - r.bad, Bytes: r.bad, Truncated: cut})
		r.bad = 0
	}
}
