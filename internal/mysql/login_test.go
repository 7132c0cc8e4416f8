package mysql

import (
	"encoding/binary"
	"errors"
	"strings"
	"testing"
)

// loginPacket returns the body of a HandshakeResponse41 with capability flags, and text after the fixed fields.
func loginPacket(caps uint32, text string) []byte {
	fixed := make([]byte, loginHeaderLength)
	binary.LittleEndian.PutUint32(fixed, caps)
	return append(fixed, text...)
}

// The capability flags tell whether the password is null-terminated or length-encoded and whether a database follows.
// Guards against a login that is read in the wrong encoding.
func TestParseLogin(t *testing.T) {
	const base = capProtocol41 // no flag for a length-encoded password
	for _, test := range []struct {
		name   string
		packet []byte
		want   login
	}{
		{"null-terminated password", loginPacket(base, "app\x00pw\x00"), login{user: "app", hasPassword: true}},
		{"empty null-terminated password", loginPacket(base, "app\x00\x00"), login{user: "app"}},
		{
			"length-encoded password", loginPacket(base|capLenencAuth, "app\x00\x02pw"),
			login{user: "app", hasPassword: true},
		},
		{"empty length-encoded password", loginPacket(base|capLenencAuth, "app\x00\x00"), login{user: "app"}},
		{"password of one zero byte", loginPacket(base|capSecureConnection, "app\x00\x01\x00"), login{user: "app"}},
		{
			"password of one byte", loginPacket(base|capSecureConnection, "app\x00\x01p"),
			login{user: "app", hasPassword: true},
		},
		{
			"database after a null-terminated password",
			loginPacket(base|capConnectWithDB, "app\x00pw\x00warehouse\x00"),
			login{user: "app", hasPassword: true, database: "warehouse"},
		},
		{
			"database after a length-encoded password",
			loginPacket(base|capSecureConnection|capConnectWithDB, "app\x00\x02pwwarehouse\x00plugin\x00"),
			login{user: "app", hasPassword: true, database: "warehouse"},
		},
		{"database missing despite its flag", loginPacket(base|capConnectWithDB, "app\x00\x00"), login{user: "app"}},
		{"database without its flag", loginPacket(base, "app\x00\x00warehouse\x00"), login{user: "app"}},
	} {
		want := test.want
		want.caps = binary.LittleEndian.Uint32(test.packet)
		if got, err := parseLogin(test.packet); err != nil || got != want {
			t.Errorf("%s: %+v, error %v, want %+v", test.name, got, err, want)
		}
	}
}

// A login that is truncated, of an older protocol or a request for encryption is an error, and no field of it is
// returned.
func TestParseLoginErrors(t *testing.T) {
	const secure = capProtocol41 | capSecureConnection
	for _, test := range []struct {
		name   string
		packet []byte
		want   error
	}{
		{"empty packet", nil, errShortLogin},
		{"truncated flags", []byte{0, 2, 0}, errShortLogin},
		{"older protocol", loginPacket(capSecureConnection, "app\x00\x00"), errOldProtocol},
		{"request for encryption", loginPacket(secure|capSSL, ""), errNoEncryption},
		{"truncated fixed fields", loginPacket(secure, "")[:loginHeaderLength-1], errShortLogin},
		{"unterminated user", loginPacket(secure, "app"), errShortLogin},
		{"unterminated password", loginPacket(capProtocol41, "app\x00pw"), errShortLogin},
		{"missing password length", loginPacket(secure, "app\x00"), errShortLogin},
		{"password shorter than its length", loginPacket(secure, "app\x00\x03pw"), errShortLogin},
		{"password length of several bytes", loginPacket(secure, "app\x00\xfb"+strings.Repeat("p", 0xfb)), errShortLogin},
		{"unterminated database", loginPacket(secure|capConnectWithDB, "app\x00\x00warehouse"), errShortLogin},
	} {
		if got, err := parseLogin(test.packet); !errors.Is(err, test.want) || got != (login{}) {
			t.Errorf("%s: %+v, error %v, want %v", test.name, got, err, test.want)
		}
	}
}
