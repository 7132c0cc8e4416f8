package bgp

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
)

// Message types, and what RFC 4271 says of sizes.
const (
	typeOpen         = 1
	typeUpdate       = 2
	typeNotification = 3
	typeKeepalive    = 4

	headerLength = 19
	maxMessage   = 4096
	version      = 4
	asTrans      = 23456 // stands for a number of over 16 bits (RFC 6793)
)

// NotificationError is an error in RFC 4271's terms, as it goes over the wire.
type NotificationError struct {
	Code, Subcode byte
	Data          []byte
}

func (n *NotificationError) Error() string {
	return fmt.Sprintf("notification %d/%d (%s) data %x", n.Code, n.Subcode, codeNames[n.Code], n.Data)
}

var codeNames = map[byte]string{
	1: "message header error", 2: "OPEN message error", 3: "UPDATE message error",
	4: "hold timer expired", 5: "finite state machine error", 6: "cease",
}

// marker opens every message.
var marker = bytes.Repeat([]byte{0xff}, 16)

func encodeMessage(kind byte, body []byte) []byte {
	b := append([]byte(nil), marker...)
	b = binary.BigEndian.AppendUint16(b, uint16(headerLength+len(body)))
	return append(append(b, kind), body...)
}

func encodeNotification(n *NotificationError) []byte {
	return encodeMessage(typeNotification, append([]byte{n.Code, n.Subcode}, n.Data...))
}

// decodeMessage cuts the first message off b: its type, its body and the length of all of it, 0 if b does not hold it
// whole yet.
func decodeMessage(b []byte) (kind byte, body []byte, length int, err *NotificationError) {
	if len(b) < headerLength {
		return 0, nil, 0, nil
	}
	if !bytes.Equal(b[:16], marker) {
		return 0, nil, 0, &NotificationError{Code: 1, Subcode: 1}
	}
	n := int(binary.BigEndian.Uint16(b[16:]))
	kind = b[18]
	least, ok := map[byte]int{typeOpen: 29, typeUpdate: 23, typeNotification: 21, typeKeepalive: headerLength}[kind]
	switch {
	case n < headerLength || n > maxMessage || ok && n < least || kind == typeKeepalive && n != headerLength:
		return 0, nil, 0, &NotificationError{Code: 1, Subcode: 2, Data: b[16:18:18]}
	case !ok:
		return 0, nil, 0, &NotificationError{Code: 1, Subcode: 3, Data: []byte{kind}}
	case len(b) < n:
		return 0, nil, 0, nil
	}
	return kind, b[headerLength:n], n, nil
}

// openMessage is an OPEN message.
type openMessage struct {
	asNumber        uint32
	holdTimeSeconds uint16
	routerID        netip.Addr
	fourByteAS      bool // numbers of 32 bits are understood
}

func encodeOpen(o openMessage) []byte {
	b := []byte{version}
	short := uint16(asTrans)
	if o.asNumber <= 0xffff {
		short = uint16(o.asNumber)
	}
	b = binary.BigEndian.AppendUint16(b, short)
	b = binary.BigEndian.AppendUint16(b, o.holdTimeSeconds)
	b = append(b, o.routerID.AsSlice()...)
	// One parameter with two capabilities: IPv4 unicast, and numbers of 32 bits.
	caps := []byte{1, 4, 0, 1, 0, 1, 65, 4}
	caps = binary.BigEndian.AppendUint32(caps, o.asNumber)
	b = append(b, byte(len(caps)+2), 2, byte(len(caps)))
	return encodeMessage(typeOpen, append(b, caps...))
}

func parseOpen(b []byte) (openMessage, *NotificationError) {
	o := openMessage{
		asNumber: uint32(binary.BigEndian.Uint16(b[1:])), holdTimeSeconds: binary.BigEndian.Uint16(b[3:]),
		routerID: netip.AddrFrom4([4]byte(b[5:9])),
	}
	if b[0] != version {
		return o, &NotificationError{Code: 2, Subcode: 1, Data: []byte{0, version}}
	}
	bad := &NotificationError{Code: 2}
	params := b[10:]
	if len(params) != int(b[9]) {
		return o, bad
	}
	for len(params) > 0 {
		if len(params) < 2 || len(params) < 2+int(params[1]) {
			return o, bad
		}
		kind, value := params[0], params[2:2+int(params[1])]
		params = params[2+int(params[1]):]
		if kind != 2 {
			return o, &NotificationError{Code: 2, Subcode: 4}
		}
		for len(value) > 0 {
			if len(value) < 2 || len(value) < 2+int(value[1]) {
				return o, bad
			}
			if value[0] == 65 && value[1] == 4 {
				o.asNumber, o.fourByteAS = binary.BigEndian.Uint32(value[2:]), true
			}
			value = value[2+int(value[1]):]
		}
	}
	switch {
	case o.holdTimeSeconds == 1 || o.holdTimeSeconds == 2:
		return o, &NotificationError{Code: 2, Subcode: 6}
	case o.routerID.IsUnspecified():
		return o, &NotificationError{Code: 2, Subcode: 3}
	}
	return o, nil
}

// encodeUpdate announces the prefixes, or withdraws them.
func encodeUpdate(c Config, fourB, withdraw bool) []byte {
	var list []byte
	for _, p := range c.Prefixes {
		a := p.Addr().As4()
		list = append(append(list, byte(p.Bits())), a[:(p.Bits()+7)/8]...)
	}
	if withdraw {
		b := binary.BigEndian.AppendUint16(nil, uint16(len(list)))
		return encodeMessage(typeUpdate, append(append(b, list...), 0, 0))
	}
	attr := func(flags, kind byte, value []byte) []byte {
		return append([]byte{flags, kind, byte(len(value))}, value...)
	}
	var path, path4 []byte
	if c.LocalAS != c.PeerAS { // a sequence of one; within one system the path is empty
		path4 = binary.BigEndian.AppendUint32([]byte{2, 1}, c.LocalAS)
		path = path4
		if !fourB {
			path = binary.BigEndian.AppendUint16([]byte{2, 1}, uint16(min(c.LocalAS, 0xffff)))
			if c.LocalAS > 0xffff {
				path = binary.BigEndian.AppendUint16([]byte{2, 1}, asTrans)
			}
		}
	}
	attrs := attr(0x40, 1, []byte{0}) // ORIGIN IGP
	attrs = append(attrs, attr(0x40, 2, path)...)
	attrs = append(attrs, attr(0x40, 3, c.NextHop.AsSlice())...)
	if c.LocalAS == c.PeerAS {
		attrs = append(attrs, attr(0x40, 5, []byte{0, 0, 0, 100})...) // LOCAL_PREF
	} else if !fourB && c.LocalAS > 0xffff {
		attrs = append(attrs, attr(0xc0, 17, path4)...) // AS4_PATH
	}
	b := binary.BigEndian.AppendUint16([]byte{0, 0}, uint16(len(attrs)))
	return encodeMessage(typeUpdate, append(append(b, attrs...), list...))
}

// checkUpdate checks the framing of a neighbour's UPDATE. Its routes are of no use to us and are not kept.
func checkUpdate(b []byte) *NotificationError {
	bad := &NotificationError{Code: 3, Subcode: 1}
	withdrawn := int(binary.BigEndian.Uint16(b))
	if len(b) < 4+withdrawn {
		return bad
	}
	rest := b[2+withdrawn:]
	attrs := int(binary.BigEndian.Uint16(rest))
	if len(rest) < 2+attrs {
		return bad
	}
	if !validPrefixes(b[2:2+withdrawn]) || !validPrefixes(rest[2+attrs:]) {
		return &NotificationError{Code: 3, Subcode: 10}
	}
	for a := rest[2 : 2+attrs]; len(a) > 0; {
		head, n := 3, 0
		if a[0]&0x10 != 0 {
			head = 4
		}
		if len(a) < head {
			return bad
		}
		if head == 4 {
			n = int(binary.BigEndian.Uint16(a[2:]))
		} else {
			n = int(a[2])
		}
		if len(a) < head+n {
			return bad
		}
		a = a[head+n:]
	}
	return nil
}

func validPrefixes(b []byte) bool {
	for len(b) > 0 {
		n := 1 + (int(b[0])+7)/8
		if b[0] > 32 || len(b) < n {
			return false
		}
		b = b[n:]
	}
	return true
}
