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

// The notice board's wire. A router that connects sends the number of the last event that it knows, 8 bytes. The board
// sends frames: length:4, which counts what follows it, number:8, kind:1, and records of 27 bytes:
//
//	id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 capacity:4 started:8
//
// All integers are big-endian. Zone and kind are indexes into lists of the settings, the capacity is in thousandths,
// and the start of an engine in Unix milliseconds.
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

	// capacityUnit is what a record's capacity is counted in, as parts of one.
	capacityUnit = 1000
	// maxStartedMS bounds the start of an engine to what a time.Duration can hold.
	maxStartedMS = math.MaxInt64 / 1_000_000
)

// frameKind is what a frame holds.
type frameKind byte

const (
	frameHeartbeat frameKind = 0 // no event; sent each second
	frameComplete  frameKind = 1 // the complete endpoint list
	frameChanges   frameKind = 2 // the endpoints that changed with the event
)

// Errors of frames; each ends the connection.
var (
	errFrameSize         = errors.New("frame size out of range")
	errFrameTooShort     = errors.New("frame is too short")
	errUnknownFrameKind  = errors.New("unknown kind of frame")
	errUnexpectedPayload = errors.New("heartbeat with a payload")
	errPartialRecord     = errors.New("payload is not whole records")
	errRecordOutOfRange  = errors.New("record out of range")
	errEventGap          = errors.New("gap between events")
)

// frame is one parsed frame.
type frame struct {
	event  uint64
	kind   frameKind
	update Update
}

// encodeLastEvent returns what a router sends first.
func encodeLastEvent(event uint64) []byte { return binary.BigEndian.AppendUint64(nil, event) }

// cutFrame cuts the first frame off a buffer, without its length; ok is false while the frame is incomplete.
func cutFrame(buffer []byte) (body, remaining []byte, ok bool, err error) {
	if len(buffer) < lengthSize {
		return nil, buffer, false, nil
	}
	size := binary.BigEndian.Uint32(buffer)
	if size < frameHeaderSize || size > maxFrameSize {
		return nil, buffer, false, fmt.Errorf("%w: %d bytes", errFrameSize, size)
	}
	if uint32(len(buffer)-lengthSize) < size {
		return nil, buffer, false, nil
	}
	return buffer[lengthSize : lengthSize+size], buffer[lengthSize+size:], true, nil
}

// parseFrame parses a frame without its length.
func parseFrame(body []byte, names RecordNames) (frame, error) {
	if len(body) < frameHeaderSize {
		return frame{}, fmt.Errorf("%w: %d bytes", errFrameTooShort, len(body))
	}
	parsed := frame{event: binary.BigEndian.Uint64(body), kind: frameKind(body[frameHeaderSize-1])}
	records := body[frameHeaderSize:]
	switch {
	case parsed.kind > frameChanges:
		return parsed, fmt.Errorf("%w: %d", errUnknownFrameKind, parsed.kind)
	case parsed.kind == frameHeartbeat && len(records) > 0:
		return parsed, errUnexpectedPayload
	case len(records)%recordSize != 0:
		return parsed, fmt.Errorf("%w: %d bytes", errPartialRecord, len(records))
	}
	parsed.update = Update{
		Events:    dispatch.EndpointList{Mode: dispatch.ListIncremental},
		Addresses: map[dispatch.EngineID]string{},
	}
	if parsed.kind == frameComplete {
		parsed.update.Events.Mode = dispatch.ListComplete
	}
	for ; len(records) > 0; records = records[recordSize:] {
		endpoint, address, err := parseRecord(records[:recordSize], names)
		if err != nil {
			return parsed, err
		}
		parsed.update.Events.Endpoints = append(parsed.update.Events.Endpoints, endpoint)
		parsed.update.Addresses[endpoint.ID] = address
	}
	return parsed, nil
}

// parseRecord parses one endpoint and where it listens.
func parseRecord(record []byte, names RecordNames) (endpoint dispatch.Endpoint, address string, err error) {
	id := dispatch.EngineID(binary.BigEndian.Uint32(record))
	state, zone, kind := dispatch.EndpointState(record[stateOffset]), int(record[zoneOffset]), int(record[kindOffset])
	startedMS := binary.BigEndian.Uint64(record[startedOffset:])
	inRange := state <= dispatch.Removed && zone < len(names.Zones) && kind < len(names.Kinds) && startedMS <= maxStartedMS
	if !inRange {
		return endpoint, "", fmt.Errorf("%w: s-%08x with state %d, zone %d, kind %d, start %d",
			errRecordOutOfRange, uint64(id), state, zone, kind, startedMS)
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
