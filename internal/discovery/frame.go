package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// The wire format of discovery. After connecting, the router sends the number of the last event that it knows, in 8
// bytes. Discovery then sends frames. A frame consists of length:4, which is the number of bytes after the length
// field, event number:8, kind:1, and records of 27 bytes each:
//
//	id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 capacity:4 started:8
//
// The numbers are sizes in bytes. All integers are big-endian. Zone and kind are indexes into lists in the settings,
// the capacity is in thousandths, and the start time of the engine in Unix milliseconds.
const (
	lengthSize      = 4
	frameHeaderSize = 9
	recordSize      = 27
	maxFrameSize    = 1 << 20

	stateOffset    = 10
	zoneOffset     = 11
	kindOffset     = 12
	cellOffset     = 13
	capacityOffset = 15
	startedOffset  = 19

	// capacityUnit is the value of a record's capacity field that stands for a capacity weight of 1.
	capacityUnit = 1000
	// maxStartedMS is the largest accepted start time of an engine: the largest that fits into a time.Duration.
	maxStartedMS = math.MaxInt64 / 1_000_000
)

// frameKind is the type of a frame.
type frameKind byte

const (
	frameHeartbeat frameKind = 0 // contains no event; sent every second
	frameComplete  frameKind = 1 // contains the complete endpoint list
	frameChanges   frameKind = 2 // contains the endpoints that the event changes
)

// Errors in frames; each of them ends the connection.
var (
	errFrameSize         = errors.New("frame size out of range")
	errFrameTooShort     = errors.New("frame too short")
	errUnknownFrameKind  = errors.New("unknown frame kind")
	errUnexpectedPayload = errors.New("heartbeat frame has a payload")
	errPartialRecord     = errors.New("payload ends within a record")
	errRecordOutOfRange  = errors.New("field of an endpoint record out of range")
	errEventGap          = errors.New("missing events")
)

// frame is a parsed frame.
type frame struct {
	event  uint64
	kind   frameKind
	update Update
}

// encodeLastEvent returns the message that a router sends after connecting: the number of the last event it knows.
func encodeLastEvent(event uint64) []byte { return binary.BigEndian.AppendUint64(nil, event) }

// cutFrame splits a buffer into the body of the first frame, without the length field, and the remaining bytes. ok is
// false while the frame is incomplete. It returns an error if the length is out of range.
func cutFrame(buffer []byte) (body, remaining []byte, ok bool, err error) {
	if len(buffer) < lengthSize {
		return nil, buffer, false, nil
	}
	size := binary.BigEndian.Uint32(buffer)
	if size < frameHeaderSize || size > maxFrameSize {
		return nil, buffer, false, fmt.Errorf("%w: %d bytes, expected %d to %d",
			errFrameSize, size, frameHeaderSize, maxFrameSize)
	}
	if uint32(len(buffer)-lengthSize) < size {
		return nil, buffer, false, nil
	}
	return buffer[lengthSize : lengthSize+size], buffer[lengthSize+size:], true, nil
}

// parseFrame parses the body of a frame, without its length field.
func parseFrame(body []byte, names RecordNames) (frame, error) {
	if len(body) < frameHeaderSize {
		return frame{}, fmt.Errorf("%w: %d bytes, expected at least %d", errFrameTooShort, len(body), frameHeaderSize)
	}
	parsed := frame{event: binary.BigEndian.Uint64(body), kind: frameKind(body[frameHeaderSize-1])}
	records := body[frameHeaderSize:]
	switch {
	case parsed.kind > frameChanges:
		return parsed, fmt.Errorf("%w: %d", errUnknownFrameKind, parsed.kind)
	case parsed.kind == frameHeartbeat && len(records) > 0:
		return parsed, fmt.Errorf("%w: %d bytes", errUnexpectedPayload, len(records))
	case len(records)%recordSize != 0:
		return parsed, fmt.Errorf("%w: %d bytes, expected a multiple of %d", errPartialRecord, len(records), recordSize)
	}
	parsed.update = Update{
		List:      dispatch.EndpointList{Mode: dispatch.ListIncremental},
		Addresses: map[dispatch.EngineID]string{},
	}
	if parsed.kind == frameComplete {
		parsed.update.List.Mode = dispatch.ListComplete
	}
	for ; len(records) > 0; records = records[recordSize:] {
		endpoint, address, err := parseRecord(records[:recordSize], names)
		if err != nil {
			return parsed, err
		}
		parsed.update.List.Endpoints = append(parsed.update.List.Endpoints, endpoint)
		parsed.update.Addresses[endpoint.ID] = address
	}
	return parsed, nil
}

// parseRecord parses a record of recordSize bytes and returns the endpoint and its address as host:port. It fails if
// the state, the zone, the kind or the start time is out of range.
func parseRecord(record []byte, names RecordNames) (endpoint dispatch.Endpoint, address string, err error) {
	id := dispatch.EngineID(binary.BigEndian.Uint32(record))
	state, zone, kind := dispatch.EndpointState(record[stateOffset]), int(record[zoneOffset]), int(record[kindOffset])
	startedMS := binary.BigEndian.Uint64(record[startedOffset:])
	inRange := state <= dispatch.Removed && zone < len(names.Zones) && kind < len(names.Kinds) && startedMS <= maxStartedMS
	if !inRange {
		return endpoint, "", fmt.Errorf(
			"%w: engine s-%08x has state %d (maximum %d), zone index %d of %d, kind index %d of %d, start %d ms (maximum %d)",
			errRecordOutOfRange, uint64(id), state, dispatch.Removed, zone, len(names.Zones), kind, len(names.Kinds),
			startedMS, uint64(maxStartedMS))
	}
	endpoint = dispatch.Endpoint{
		ID:             id,
		State:          state,
		Zone:           names.Zones[zone],
		Kind:           names.Kinds[kind],
		Cell:           int(binary.BigEndian.Uint16(record[cellOffset:])),
		CapacityWeight: float64(binary.BigEndian.Uint32(record[capacityOffset:])) / capacityUnit,
		StartedAt:      clock.Duration(float64(startedMS)),
	}
	ip, port := netip.AddrFrom4([4]byte(record[4:8])), binary.BigEndian.Uint16(record[8:])
	return endpoint, netip.AddrPortFrom(ip, port).String(), nil
}
