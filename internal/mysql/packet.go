package mysql

import (
	"encoding/binary"
	"errors"

	"windflow/internal/router"
)

// Capability flags, commands and codes of the MySQL client protocol 4.1.
const (
	capLongPassword  = 1 << 0
	capFoundRows     = 1 << 1
	capLongFlag      = 1 << 2
	capConnectWithDB = 1 << 3
	capProtocol41    = 1 << 9
	capSSL           = 1 << 11
	capTransactions  = 1 << 13
	capSecure        = 1 << 15
	capPluginAuth    = 1 << 19
	capLenencAuth    = 1 << 21

	serverCaps = capLongPassword | capFoundRows | capLongFlag | capConnectWithDB | capProtocol41 |
		capTransactions | capSecure | capPluginAuth

	comQuit       = 0x01
	comInitDB     = 0x02
	comQuery      = 0x03
	comStatistics = 0x09
	comPing       = 0x0e
	comResetConn  = 0x1f

	charsetUTF8MB4   = 45
	statusAutocommit = 2
	typeVarString    = 253

	errTooManyConns  = 1040 // refused: a retry is harmless
	errHandshake     = 1043
	errAccessDenied  = 1045
	errUnknownCom    = 1047
	errUnknownDB     = 1049
	errParse         = 1064
	errNoSuchThread  = 1094
	errUnknown       = 1105
	errPacketTooBig  = 1153
	errPacketOrder   = 1156
	errReadTimeout   = 1159
	errInterrupted   = 1317
	errTimeout       = 3024
	serverVersion    = "8.0.0-windflow"
	headerLength     = 4
	maxPacket        = 64 << 10
	maxPacketOnWire  = 1<<24 - 1
	mysqlNativeLogin = "mysql_native_password"
)

// sqlStates gives the SQLSTATE that goes with a code; HY000 for the rest.
var sqlStates = map[int]string{
	errTooManyConns: "08004", errHandshake: "08S01", errAccessDenied: "28000",
	errUnknownCom: "08S01", errUnknownDB: "42000", errParse: "42000", errPacketTooBig: "08S01",
	errPacketOrder: "08S01", errReadTimeout: "08S01", errInterrupted: "70100",
}

// writer builds packets with their headers.
type writer struct {
	b     []byte
	seq   byte
	start int
}

func (w *writer) begin() {
	w.start = len(w.b)
	w.b = append(w.b, 0, 0, 0, w.seq)
	w.seq++
}

func (w *writer) end() {
	n := len(w.b) - w.start - headerLength
	w.b[w.start], w.b[w.start+1], w.b[w.start+2] = byte(n), byte(n>>8), byte(n>>16)
}

func (w *writer) lenenc(n uint64) {
	switch {
	case n < 251:
		w.b = append(w.b, byte(n))
	case n < 1<<16:
		w.b = append(w.b, 0xfc, byte(n), byte(n>>8))
	case n < 1<<24:
		w.b = append(w.b, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	default:
		w.b = binary.LittleEndian.AppendUint64(append(w.b, 0xfe), n)
	}
}

func (w *writer) text(s string) {
	w.lenenc(uint64(len(s)))
	w.b = append(w.b, s...)
}

func (w *writer) greeting(id uint32, salt string) {
	w.begin()
	w.b = append(w.b, 10)
	w.b = append(append(w.b, serverVersion...), 0)
	w.b = binary.LittleEndian.AppendUint32(w.b, id)
	w.b = append(append(w.b, salt[:8]...), 0)
	caps := uint32(serverCaps)
	w.b = binary.LittleEndian.AppendUint16(w.b, uint16(caps))
	w.b = append(w.b, charsetUTF8MB4, statusAutocommit, 0)
	w.b = binary.LittleEndian.AppendUint16(w.b, uint16(caps>>16))
	w.b = append(w.b, 21)
	w.b = append(w.b, make([]byte, 10)...)
	w.b = append(append(w.b, salt[8:20]...), 0)
	w.b = append(append(w.b, mysqlNativeLogin...), 0)
	w.end()
}

func (w *writer) ok() {
	w.begin()
	w.b = append(w.b, 0, 0, 0, statusAutocommit, 0, 0, 0)
	w.end()
}

func (w *writer) eof() {
	w.begin()
	w.b = append(w.b, 0xfe, 0, 0, statusAutocommit, 0)
	w.end()
}

func (w *writer) err(code int, text string) {
	state := sqlStates[code]
	if state == "" {
		state = "HY000"
	}
	w.begin()
	w.b = append(w.b, 0xff, byte(code), byte(code>>8), '#')
	w.b = append(append(w.b, state...), text...)
	w.end()
}

// result writes a text result set that ends in EOF.
func (w *writer) result(r *router.Result) {
	w.begin()
	w.lenenc(uint64(len(r.Columns)))
	w.end()
	for _, name := range r.Columns {
		w.begin()
		for _, s := range []string{"def", "", "", "", name, ""} {
			w.text(s)
		}
		w.b = append(w.b, 0x0c, charsetUTF8MB4, 0, 0, 0, 1, 0, typeVarString, 0, 0, 0, 0, 0)
		w.end()
	}
	w.eof()
	for i := 0; i+len(r.Columns) <= len(r.Cells) && len(r.Columns) > 0; i += len(r.Columns) {
		w.begin()
		for _, cell := range r.Cells[i : i+len(r.Columns)] {
			if cell.Null {
				w.b = append(w.b, 0xfb)
			} else {
				w.text(cell.Text)
			}
		}
		w.end()
	}
	w.eof()
}

// login is what a client's HandshakeResponse41 says.
type login struct {
	caps     uint32
	user, db string
	password bool
}

var errShort = errors.New("the login packet is cut short")

// parseLogin reads a HandshakeResponse41.
func parseLogin(p []byte) (login, error) {
	var l login
	if len(p) < 4 {
		return l, errShort
	}
	l.caps = binary.LittleEndian.Uint32(p)
	switch {
	case l.caps&capProtocol41 == 0:
		return l, errors.New("the client does not speak protocol 4.1")
	case l.caps&capSSL != 0 && len(p) <= 32:
		return l, errors.New("this server uses no encryption")
	case len(p) < 32:
		return l, errShort
	}
	rest := p[32:]
	var ok bool
	if l.user, rest, ok = cutNul(rest); !ok {
		return l, errShort
	}
	switch {
	case l.caps&(capLenencAuth|capSecure) != 0:
		// A length of 251 and more takes further bytes; no password scheme is that long.
		if len(rest) < 1 || rest[0] > 250 || len(rest) < 1+int(rest[0]) {
			return l, errShort
		}
		l.password = rest[0] > 0 && !(rest[0] == 1 && rest[1] == 0)
		rest = rest[1+int(rest[0]):]
	default:
		var auth string
		if auth, rest, ok = cutNul(rest); !ok {
			return l, errShort
		}
		l.password = auth != ""
	}
	if l.caps&capConnectWithDB != 0 && len(rest) > 0 {
		if l.db, _, ok = cutNul(rest); !ok {
			return l, errShort
		}
	}
	return l, nil
}

func cutNul(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
