package bgp

import (
	"encoding/binary"
	"net/netip"
)

const (
	protocolVersion = 4
	// openFixedLength is the length in bytes of the fixed fields of an OPEN's body. The last byte is the length of the
	// optional parameters that follow.
	openFixedLength = 10
	// parameterCapabilities is the type of the optional parameter that lists capabilities (RFC 5492).
	parameterCapabilities = 2
	// capabilityFourByteAS is the code of the capability of four-byte AS numbers (RFC 6793).
	capabilityFourByteAS       = 65
	capabilityFourByteASLength = 4
)

// ipv4Unicast is the encoded multiprotocol capability for IPv4 unicast routes (RFC 4760).
var ipv4Unicast = []byte{1, 4, 0, 1, 0, 1}

// openMessage holds the fields of an OPEN message.
type openMessage struct {
	asNumber        uint32
	holdTimeSeconds uint16
	routerID        netip.Addr
	fourByteAS      bool // the sender supports four-byte AS numbers; encodeOpen always announces that
}

func encodeOpen(open openMessage) []byte {
	twoByteAS := uint16(asTrans)
	if open.asNumber <= 0xffff {
		twoByteAS = uint16(open.asNumber)
	}
	body := []byte{protocolVersion}
	body = binary.BigEndian.AppendUint16(body, twoByteAS)
	body = binary.BigEndian.AppendUint16(body, open.holdTimeSeconds)
	body = append(body, open.routerID.AsSlice()...)
	capabilities := append([]byte(nil), ipv4Unicast...)
	capabilities = append(capabilities, capabilityFourByteAS, capabilityFourByteASLength)
	capabilities = binary.BigEndian.AppendUint32(capabilities, open.asNumber)
	body = append(body, byte(len(capabilities)+2), parameterCapabilities, byte(len(capabilities)))
	return encodeMessage(typeOpen, append(body, capabilities...))
}

// decodeOpen decodes and checks the body of an OPEN. decodeMessage has checked its minimum length.
func decodeOpen(body []byte) (open openMessage, invalid *NotificationError) {
	open = openMessage{
		asNumber:        uint32(binary.BigEndian.Uint16(body[1:])),
		holdTimeSeconds: binary.BigEndian.Uint16(body[3:]),
		routerID:        netip.AddrFrom4([4]byte(body[5:9])),
	}
	if body[0] != protocolVersion {
		supported := []byte{0, protocolVersion}
		return open, &NotificationError{Code: codeOpen, Subcode: openUnsupportedVersion, Data: supported}
	}
	parameters := body[openFixedLength:]
	if len(parameters) != int(body[openFixedLength-1]) {
		return open, &NotificationError{Code: codeOpen}
	}
	if invalid := open.decodeParameters(parameters); invalid != nil {
		return open, invalid
	}
	switch {
	case open.holdTimeSeconds == 1 || open.holdTimeSeconds == 2:
		return open, &NotificationError{Code: codeOpen, Subcode: openBadHoldTime}
	case open.routerID.IsUnspecified():
		return open, &NotificationError{Code: codeOpen, Subcode: openBadRouterID}
	}
	return open, nil
}

func (o *openMessage) decodeParameters(parameters []byte) *NotificationError {
	for len(parameters) > 0 {
		kind, value, following, ok := cutField(parameters)
		switch {
		case !ok:
			return &NotificationError{Code: codeOpen}
		case kind != parameterCapabilities:
			return &NotificationError{Code: codeOpen, Subcode: openUnsupportedParameter}
		case !o.decodeCapabilities(value):
			return &NotificationError{Code: codeOpen}
		}
		parameters = following
	}
	return nil
}

// decodeCapabilities decodes a list of capabilities and ignores unknown ones. It returns false if the list is
// malformed.
func (o *openMessage) decodeCapabilities(capabilities []byte) bool {
	for len(capabilities) > 0 {
		code, value, following, ok := cutField(capabilities)
		if !ok {
			return false
		}
		if code == capabilityFourByteAS && len(value) == capabilityFourByteASLength {
			o.asNumber, o.fourByteAS = binary.BigEndian.Uint32(value), true
		}
		capabilities = following
	}
	return true
}

// cutField cuts a field off data that starts with a byte for its type and one for its length. It returns false if data
// is incomplete.
func cutField(data []byte) (kind byte, value, following []byte, ok bool) {
	if len(data) < 2 || len(data) < 2+int(data[1]) {
		return 0, nil, nil, false
	}
	end := 2 + int(data[1])
	return data[0], data[2:end], data[end:], true
}
