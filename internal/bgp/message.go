package bgp

import (
	"bytes"
	"encoding/binary"
)

// messageType is the type of a BGP message.
type messageType byte

const (
	typeOpen         messageType = 1
	typeUpdate       messageType = 2
	typeNotification messageType = 3
	typeKeepalive    messageType = 4
)

// Lengths and offsets in bytes (RFC 4271, section 4).
const (
	markerLength          = 16
	headerLength          = 19
	lengthOffset          = markerLength
	typeOffset            = 18
	maxMessageLength      = 4096
	minOpenLength         = 29
	minUpdateLength       = 23
	minNotificationLength = 21
)

// asTrans (AS_TRANS) stands in a two-byte field for an AS number that needs four bytes (RFC 6793).
const asTrans = 23456

// marker is the field at the start of each message.
var marker = bytes.Repeat([]byte{0xff}, markerLength)

// minLength returns the minimum length in bytes of a message of the type, header included, and false for an unknown
// type.
func (t messageType) minLength() (length int, known bool) {
	switch t {
	case typeOpen:
		return minOpenLength, true
	case typeUpdate:
		return minUpdateLength, true
	case typeNotification:
		return minNotificationLength, true
	case typeKeepalive:
		return headerLength, true
	}
	return 0, false
}

// message is the type and the body of a message, without its header.
type message struct {
	kind messageType
	body []byte
}

func encodeMessage(kind messageType, body []byte) []byte {
	encoded := append([]byte(nil), marker...)
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(headerLength+len(body)))
	return append(append(encoded, byte(kind)), body...)
}

// decodeMessage decodes the message at the start of data and returns its length, header included. The length is 0 if
// the message is incomplete. A message with an invalid header is an error.
func decodeMessage(data []byte) (decoded message, length int, invalid *NotificationError) {
	if len(data) < headerLength {
		return message{}, 0, nil
	}
	if !bytes.Equal(data[:markerLength], marker) {
		return message{}, 0, &NotificationError{Code: codeHeader, Subcode: headerNotSynchronized}
	}
	length = int(binary.BigEndian.Uint16(data[lengthOffset:]))
	kind := messageType(data[typeOffset])
	minLength, known := kind.minLength()
	badKeepalive := kind == typeKeepalive && length != headerLength
	switch {
	case length < max(headerLength, minLength) || length > maxMessageLength || badKeepalive:
		badLength := data[lengthOffset:typeOffset:typeOffset]
		return message{}, 0, &NotificationError{Code: codeHeader, Subcode: headerBadLength, Data: badLength}
	case !known:
		return message{}, 0, &NotificationError{Code: codeHeader, Subcode: headerBadType, Data: []byte{byte(kind)}}
	case len(data) < length:
		return message{}, 0, nil
	}
	return message{kind, data[headerLength:length]}, length, nil
}
