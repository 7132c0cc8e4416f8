package flightsql

import (
	"encoding/binary"

	"golang.org/x/net/http2"
)

const (
	// frameHeaderLength is the length in bytes of the header of an HTTP/2 frame (RFC 9113, section 4.1).
	frameHeaderLength = 9
	// streamIDMask removes the reserved bit from a stream identifier.
	streamIDMask = 1<<31 - 1
)

// frameHeader is the part of an HTTP/2 frame header that tells which streams open and end.
type frameHeader struct {
	kind   http2.FrameType
	flags  http2.Flags
	stream uint32
}

// frameScanner finds the frames in the bytes of one direction of an HTTP/2 connection, which may be split anywhere.
type frameScanner struct {
	skip    int // bytes of the client preface or of the current payload that are still to come
	header  [frameHeaderLength]byte
	scanned int // bytes of the header that have come
	current frameHeader
	inFrame bool // the header has come whole, the payload has not
}

// scan calls onFrame for each frame that ends in the data.
func (s *frameScanner) scan(data []byte, onFrame func(frameHeader)) {
	for {
		skipped := min(s.skip, len(data))
		s.skip -= skipped
		data = data[skipped:]
		if s.skip > 0 {
			return
		}
		if s.inFrame {
			s.inFrame = false
			onFrame(s.current)
		}
		if len(data) == 0 {
			return
		}
		copied := copy(s.header[s.scanned:], data)
		s.scanned += copied
		data = data[copied:]
		if s.scanned < frameHeaderLength {
			return
		}
		s.scanned, s.inFrame = 0, true
		s.skip = int(s.header[0])<<16 | int(s.header[1])<<8 | int(s.header[2])
		s.current = frameHeader{
			kind: http2.FrameType(s.header[3]), flags: http2.Flags(s.header[4]),
			stream: binary.BigEndian.Uint32(s.header[5:]) & streamIDMask,
		}
	}
}

// streamTracker follows which HTTP/2 streams (calls) of a client's connection are open: from the last byte of their
// headers until the last byte of their answer was written or one side has reset them. It is not safe for concurrent
// use.
type streamTracker struct {
	inbound, outbound frameScanner
	open              map[uint32]struct{}
	lastStream        uint32 // highest stream that the client has opened
}

func newStreamTracker() *streamTracker {
	return &streamTracker{
		inbound: frameScanner{skip: len(http2.ClientPreface)},
		open:    map[uint32]struct{}{},
	}
}

// received takes in bytes from the client.
func (t *streamTracker) received(b []byte) {
	t.inbound.scan(b, func(frame frameHeader) {
		switch {
		case frame.kind == http2.FrameRSTStream:
			delete(t.open, frame.stream)
		case !endsHeaders(frame):
		case frame.stream > t.lastStream: // lower ones are trailers
			t.lastStream = frame.stream
			t.open[frame.stream] = struct{}{}
		}
	})
}

// endsHeaders reports whether a frame is the last one of a header block.
func endsHeaders(frame frameHeader) bool {
	carriesHeaders := frame.kind == http2.FrameHeaders || frame.kind == http2.FrameContinuation
	return carriesHeaders && frame.flags.Has(http2.FlagHeadersEndHeaders)
}

// sent takes in bytes that were written to the client.
func (t *streamTracker) sent(b []byte) {
	t.outbound.scan(b, func(frame frameHeader) {
		carriesEnd := frame.kind == http2.FrameHeaders || frame.kind == http2.FrameData
		if frame.kind == http2.FrameRSTStream || carriesEnd && frame.flags.Has(http2.FlagDataEndStream) {
			delete(t.open, frame.stream)
		}
	})
}
