package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	// frameHeaderBytes is the size of a frame's length and checksum.
	frameHeaderBytes = 8
	// checksumOffset is where in a frame the checksum begins.
	checksumOffset = 4
	// minFrameBytes is the size of a frame with its kind and without a payload.
	minFrameBytes = frameHeaderBytes + 1
	// maxFrameBodyBytes bounds a frame's kind and payload: an interval of 4,096 engines and as many classes fits.
	maxFrameBodyBytes = 1 << 20
)

// ErrTooLarge is the error for a record that does not fit a frame.
var ErrTooLarge = errors.New("record too large")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a record's frame to buf. On an error it returns buf as it was.
func appendFrame(buf []byte, next Record) ([]byte, error) {
	payload, err := cbor.Marshal(next)
	if err != nil {
		return buf, err
	}
	if len(payload) >= maxFrameBodyBytes {
		return buf, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(payload))
	}
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)+1))
	buf = append(buf, 0, 0, 0, 0, byte(next.kind()))
	buf = append(buf, payload...)
	setChecksum(buf[start:])
	return buf, nil
}

// setChecksum writes the checksum of a complete frame into it.
func setChecksum(frame []byte) {
	binary.BigEndian.PutUint32(frame[checksumOffset:], crc32.Checksum(frame[frameHeaderBytes:], castagnoli))
}

// frameLength returns the length of the frame that begins buf, with its header, and whether a frame may have it. buf
// has at least frameHeaderBytes.
func frameLength(buf []byte) (length int, ok bool) {
	body := binary.BigEndian.Uint32(buf)
	if body < 1 || body > maxFrameBodyBytes {
		return 0, false
	}
	return frameHeaderBytes + int(body), true
}

// isIntactFrame reports whether buf begins with a complete frame that has the right checksum.
func isIntactFrame(buf []byte) bool {
	if len(buf) < minFrameBytes {
		return false
	}
	length, ok := frameLength(buf)
	if !ok || len(buf) < length {
		return false
	}
	return crc32.Checksum(buf[frameHeaderBytes:length], castagnoli) == binary.BigEndian.Uint32(buf[checksumOffset:])
}
