package bgp

import (
	"encoding/binary"
	"net/netip"
)

// Flags and types of path attributes (RFC 4271, section 4.3; RFC 6793 for AS4_PATH).
const (
	flagsWellKnown          = 0x40
	flagsOptionalTransitive = 0xc0
	flagExtendedLength      = 0x10

	attributeOrigin    = 1
	attributeASPath    = 2
	attributeNextHop   = 3
	attributeLocalPref = 5
	attributeAS4Path   = 17
)

const (
	originIGP         = 0
	segmentASSequence = 2
	// defaultLocalPref is the LOCAL_PREF of the announced routes, which is sent to a neighbour in the same AS.
	defaultLocalPref = 100
	ipv4Bits         = 32
	maxTwoByteAS     = 0xffff
)

// encodeAnnouncement encodes an UPDATE that announces the configured prefixes. Without fourByteAS, the AS_PATH has
// two-byte AS numbers.
func encodeAnnouncement(cfg Config, fourByteAS bool) []byte {
	attributes := encodeAttributes(cfg, fourByteAS)
	body := binary.BigEndian.AppendUint16([]byte{0, 0}, uint16(len(attributes))) // no withdrawn routes
	return encodeMessage(typeUpdate, append(append(body, attributes...), encodePrefixes(cfg.Prefixes)...))
}

// encodeWithdrawal encodes an UPDATE that withdraws the prefixes.
func encodeWithdrawal(prefixes []netip.Prefix) []byte {
	withdrawn := encodePrefixes(prefixes)
	body := binary.BigEndian.AppendUint16(nil, uint16(len(withdrawn)))
	return encodeMessage(typeUpdate, append(append(body, withdrawn...), 0, 0)) // no attributes
}

func encodePrefixes(prefixes []netip.Prefix) (encoded []byte) {
	for _, prefix := range prefixes {
		address := prefix.Addr().As4()
		encoded = append(append(encoded, byte(prefix.Bits())), address[:bytesForBits(prefix.Bits())]...)
	}
	return encoded
}

func bytesForBits(bits int) int { return (bits + 7) / 8 }

func encodeAttributes(cfg Config, fourByteAS bool) []byte {
	internal := cfg.LocalAS == cfg.PeerAS
	attributes := encodeAttribute(flagsWellKnown, attributeOrigin, []byte{originIGP})
	attributes = append(attributes, encodeAttribute(flagsWellKnown, attributeASPath, encodeASPath(cfg, fourByteAS))...)
	attributes = append(attributes, encodeAttribute(flagsWellKnown, attributeNextHop, cfg.NextHop.AsSlice())...)
	switch {
	case internal:
		preference := binary.BigEndian.AppendUint32(nil, defaultLocalPref)
		attributes = append(attributes, encodeAttribute(flagsWellKnown, attributeLocalPref, preference)...)
	case !fourByteAS && cfg.LocalAS > maxTwoByteAS:
		path := encodeASPath(cfg, true)
		attributes = append(attributes, encodeAttribute(flagsOptionalTransitive, attributeAS4Path, path)...)
	}
	return attributes
}

func encodeAttribute(flags, kind byte, value []byte) []byte {
	return append([]byte{flags, kind, byte(len(value))}, value...)
}

// encodeASPath encodes an AS path of the local AS only. To a neighbour in the same AS, the path is empty.
func encodeASPath(cfg Config, fourByteAS bool) []byte {
	path := []byte{segmentASSequence, 1}
	switch {
	case cfg.LocalAS == cfg.PeerAS:
		return nil
	case fourByteAS:
		return binary.BigEndian.AppendUint32(path, cfg.LocalAS)
	case cfg.LocalAS > maxTwoByteAS:
		return binary.BigEndian.AppendUint16(path, asTrans)
	}
	return binary.BigEndian.AppendUint16(path, uint16(cfg.LocalAS))
}

// checkUpdate checks the lengths in the body of an UPDATE, whose routes are not used. decodeMessage has checked its
// minimum length. It returns nil for a valid body.
func checkUpdate(body []byte) *NotificationError {
	malformed := &NotificationError{Code: codeUpdate, Subcode: updateMalformedAttributes}
	withdrawnLength := int(binary.BigEndian.Uint16(body))
	if len(body) < 4+withdrawnLength {
		return malformed
	}
	withdrawn, following := body[2:2+withdrawnLength], body[2+withdrawnLength:]
	attributesLength := int(binary.BigEndian.Uint16(following))
	if len(following) < 2+attributesLength {
		return malformed
	}
	attributes, announced := following[2:2+attributesLength], following[2+attributesLength:]
	if !validPrefixes(withdrawn) || !validPrefixes(announced) {
		return &NotificationError{Code: codeUpdate, Subcode: updateInvalidNetwork}
	}
	if !validAttributes(attributes) {
		return malformed
	}
	return nil
}

// validAttributes reports whether the lengths in a list of path attributes fit the list.
func validAttributes(attributes []byte) bool {
	for len(attributes) > 0 {
		attributeHeaderLength := 3
		if attributes[0]&flagExtendedLength != 0 {
			attributeHeaderLength = 4
		}
		if len(attributes) < attributeHeaderLength {
			return false
		}
		end := attributeHeaderLength + int(attributes[2])
		if attributeHeaderLength == 4 {
			end = attributeHeaderLength + int(binary.BigEndian.Uint16(attributes[2:]))
		}
		if len(attributes) < end {
			return false
		}
		attributes = attributes[end:]
	}
	return true
}

// validPrefixes reports whether each prefix in an encoded list is complete and has at most 32 bits.
func validPrefixes(prefixes []byte) bool {
	for len(prefixes) > 0 {
		end := 1 + bytesForBits(int(prefixes[0]))
		if prefixes[0] > ipv4Bits || len(prefixes) < end {
			return false
		}
		prefixes = prefixes[end:]
	}
	return true
}
