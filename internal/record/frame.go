package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	// frameHeaderBytes is the size of the length and checksum fields of a frame.
	frameHeaderBytes = 8
	// checksumOffset is the offset of the checksum in a frame.
	checksumOffset = 4
	// minFrameBytes is the size of a frame with an empty payload.
	minFrameBytes = frameHeaderBytes + 1
	// maxFrameBodyBytes bounds the kind and payload of a frame. An Interval with 4,096 engines and 4,096 classes fits.
	maxFrameBodyBytes = 1 << 20
)

// ErrTooLarge is the error for a record that is larger than a frame may be.
var ErrTooLarge = errors.New("record too large for a frame")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the frame of a record to buf. If the record can't be encoded or is too large, it returns buf
// unchanged with the error.
func appendFrame(buf []byte, next Record) ([]byte, error) {
	payload, err := cbor.Marshal(next)
	if err != nil {
		return buf, err
	}
	if len(payload) >= maxFrameBodyBytes {
		return buf, fmt.Errorf("%w: payload of %d bytes, want less than %d",
			ErrTooLarge, len(payload), maxFrameBodyBytes)
	}
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)+1))
	buf = append(buf, 0, 0, 0, 0, byte(next.kind()))
	buf = append(buf, payload...)
	setChecksum(buf[start:])
	return buf, nil
}

// setChecksum computes the checksum of a complete frame and writes it into the frame.
func setChecksum(frame []byte) {
	binary.BigEndian.PutUint32(frame[checksumOffset:], crc32.Checksum(frame[frameHeaderBytes:], castagnoli))
}

// frameLength returns the total length in bytes of the frame at the start of buf. It returns false if the length field
// is out of range. buf must have at least frameHeaderBytes.
func frameLength(buf []byte) (length int, ok bool) {
	body := binary.BigEndian.Uint32(buf)
	if body < 1 || body > maxFrameBodyBytes {
		return 0, false
	}
	return frameHeaderBytes + int(body), true
}

// isIntactFrame reports whether buf begins with a complete frame whose checksum matches.
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
