package mysql

import (
	"encoding/binary"
	"errors"
	"strings"
	"testing"
)

// loginPacket returns a HandshakeResponse41 with capability flags and the text after its fixed fields.
func loginPacket(caps uint32, text string) []byte {
	fixed := make([]byte, loginHeaderLength)
	binary.LittleEndian.PutUint32(fixed, caps)
	return append(fixed, text...)
}

// A password is empty, null-terminated or length-encoded, as the capability flags say.
func TestParseLogin(t *testing.T) {
	const base = capProtocol41 // without a flag that encodes the password
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
		{"password of one byte", loginPacket(base|capSecureConnection, "app\x00\x01p"), login{user: "app", hasPassword: true}},
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
		{"database left out", loginPacket(base|capConnectWithDB, "app\x00\x00"), login{user: "app"}},
		{"database without its flag", loginPacket(base, "app\x00\x00warehouse\x00"), login{user: "app"}},
	} {
		want := test.want
		want.caps = binary.LittleEndian.Uint32(test.packet)
		if got, err := parseLogin(test.packet); err != nil || got != want {
			t.Errorf("%s: %+v, error %v, want %+v", test.name, got, err, want)
		}
	}
}

// A login that is cut short, of an old protocol or a request for encryption is an error, and nothing of it is used.
func TestParseLoginErrors(t *testing.T) {
	const secure = capProtocol41 | capSecureConnection
	for _, test := range []struct {
		name   string
		packet []byte
		want   error
	}{
		{"empty packet", nil, errShortLogin},
		{"flags cut short", []byte{0, 2, 0}, errShortLogin},
		{"old protocol", loginPacket(capSecureConnection, "app\x00\x00"), errOldProtocol},
		{"request for encryption", loginPacket(secure|capSSL, ""), errNoEncryption},
		{"fixed fields cut short", loginPacket(secure, "")[:loginHeaderLength-1], errShortLogin},
		{"user without end", loginPacket(secure, "app"), errShortLogin},
		{"null-terminated password without end", loginPacket(capProtocol41, "app\x00pw"), errShortLogin},
		{"no length of a password", loginPacket(secure, "app\x00"), errShortLogin},
		{"password shorter than its length", loginPacket(secure, "app\x00\x03pw"), errShortLogin},
		{"length of several bytes", loginPacket(secure, "app\x00\xfb"+strings.Repeat("p", 0xfb)), errShortLogin},
		{"database without end", loginPacket(secure|capConnectWithDB, "app\x00\x00warehouse"), errShortLogin},
	} {
		if got, err := parseLogin(test.packet); !errors.Is(err, test.want) || got != (login{}) {
			t.Errorf("%s: %+v, error %v, want %v", test.name, got, err, test.want)
		}
	}
}
