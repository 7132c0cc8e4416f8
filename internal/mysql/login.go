package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// loginHeaderLength is the length in bytes of the fixed fields at the start of a HandshakeResponse41.
const loginHeaderLength = 32

var (
	errShortLogin   = errors.New("the login packet is cut short")
	errOldProtocol  = errors.New("the client does not speak protocol 4.1")
	errNoEncryption = errors.New("this server does not support encryption")
)

// login holds the fields of a HandshakeResponse41, the packet with which a client logs in.
type login struct {
	caps        uint32 // capability flags
	user        string
	database    string
	hasPassword bool
}

// parseLogin parses a HandshakeResponse41. It returns an error if the packet is truncated, if the client speaks an
// older protocol, or if it requests encryption.
func parseLogin(packet []byte) (login, error) {
	if len(packet) < 4 {
		return login{}, errShortLogin
	}
	parsed := login{caps: binary.LittleEndian.Uint32(packet)}
	switch {
	case parsed.caps&capProtocol41 == 0:
		return login{}, errOldProtocol
	case parsed.caps&capSSL != 0 && len(packet) <= loginHeaderLength:
		return login{}, errNoEncryption
	case len(packet) < loginHeaderLength:
		return login{}, errShortLogin
	}
	remaining := packet[loginHeaderLength:]
	var ok bool
	if parsed.user, remaining, ok = cutNullTerminated(remaining); !ok {
		return login{}, errShortLogin
	}
	if parsed.hasPassword, remaining, ok = cutPassword(remaining, parsed.caps); !ok {
		return login{}, errShortLogin
	}
	if parsed.caps&capConnectWithDB != 0 && len(remaining) > 0 {
		if parsed.database, _, ok = cutNullTerminated(remaining); !ok {
			return login{}, errShortLogin
		}
	}
	return parsed, nil
}

// cutPassword cuts the authentication response off a packet and reports whether it belongs to a nonempty password. ok
// is false if the packet is truncated.
func cutPassword(packet []byte, caps uint32) (hasPassword bool, remaining []byte, ok bool) {
	if caps&(capLenencAuth|capSecureConnection) == 0 {
		var password string
		password, remaining, ok = cutNullTerminated(packet)
		return password != "", remaining, ok
	}
	// The encoding of a length of 251 or more has further bytes, but no authentication response is that long.
	if len(packet) < 1 || packet[0] > 250 || len(packet) < 1+int(packet[0]) {
		return false, nil, false
	}
	length := int(packet[0])
	empty := length == 0 || length == 1 && packet[1] == 0
	return !empty, packet[1+length:], true
}

// cutNullTerminated cuts a null-terminated string off a packet. ok is false if there is no terminator.
func cutNullTerminated(packet []byte) (text string, remaining []byte, ok bool) {
	before, remaining, ok := bytes.Cut(packet, []byte{0})
	if !ok {
		return "", nil, false
	}
	return string(before), remaining, true
}

// handleLogin handles the client's login packet. A login that is malformed or rejected closes the session.
func (s *session) handleLogin(seq byte, body []byte) {
	request, err := parseLogin(body)
	var code int
	var text string
	switch {
	case seq != 1:
		code, text = errPacketOrder, fmt.Sprintf("login packet with number %d", seq)
	case err != nil:
		code, text = errHandshake, "bad handshake: "+err.Error()
	case request.user != user || request.hasPassword:
		code, text = errAccessDenied, fmt.Sprintf("access denied for user %q; %s has an empty password", request.user, user)
	case request.database != "" && request.database != database:
		code, text = errUnknownDatabase, fmt.Sprintf("unknown database %q", request.database)
	default:
		s.counters.Logins++
		s.loggedIn = true
		s.writeOK()
		return
	}
	s.counters.BadLogins++
	s.closeWithError(code, text)
}
