package mysql

import (
	"encoding/binary"

	"windflow/internal/router"
)

// packetWriter encodes packets. Each packet starts with a call of begin and ends with a call of end, which sets the
// length in its header.
type packetWriter struct {
	buffer []byte
	seq    byte // sequence number of the next packet
	start  int  // offset of the current packet in buffer
}

func (w *packetWriter) begin() {
	w.start = len(w.buffer)
	w.buffer = append(w.buffer, 0, 0, 0, w.seq)
	w.seq++
}

func (w *packetWriter) end() {
	n := len(w.buffer) - w.start - headerLength
	w.buffer[w.start], w.buffer[w.start+1], w.buffer[w.start+2] = byte(n), byte(n>>8), byte(n>>16)
}

func (w *packetWriter) bytes(b ...byte) { w.buffer = append(w.buffer, b...) }

// nullTerminatedString writes a string and a zero byte after it.
func (w *packetWriter) nullTerminatedString(s string) {
	w.buffer = append(w.buffer, s...)
	w.bytes(0)
}

// lenencInt writes a length-encoded integer, which takes 1, 3, 4 or 9 bytes.
func (w *packetWriter) lenencInt(n uint64) {
	switch {
	case n < 251:
		w.bytes(byte(n))
	case n < 1<<16:
		w.bytes(0xfc, byte(n), byte(n>>8))
	case n < 1<<24:
		w.bytes(0xfd, byte(n), byte(n>>8), byte(n>>16))
	default:
		w.bytes(0xfe)
		w.buffer = binary.LittleEndian.AppendUint64(w.buffer, n)
	}
}

// lenencString writes a length-encoded string.
func (w *packetWriter) lenencString(s string) {
	w.lenencInt(uint64(len(s)))
	w.buffer = append(w.buffer, s...)
}

// greeting writes a HandshakeV10, the first packet of a session; id is the connection id.
func (w *packetWriter) greeting(id uint32) {
	caps := uint32(serverCaps)
	w.begin()
	w.bytes(protocolVersion)
	w.nullTerminatedString(serverVersion)
	w.buffer = binary.LittleEndian.AppendUint32(w.buffer, id)
	w.nullTerminatedString(salt[:saltFirstPartLength])
	w.buffer = binary.LittleEndian.AppendUint16(w.buffer, uint16(caps))
	w.bytes(charsetUTF8MB4, statusAutocommit, 0)
	w.buffer = binary.LittleEndian.AppendUint16(w.buffer, uint16(caps>>16))
	w.bytes(byte(len(salt) + 1))
	w.bytes(make([]byte, 10)...)
	w.nullTerminatedString(salt[saltFirstPartLength:])
	w.nullTerminatedString(nativePassword)
	w.end()
}

func (w *packetWriter) ok() {
	w.begin()
	w.bytes(headerOK, 0, 0, statusAutocommit, 0, 0, 0)
	w.end()
}

func (w *packetWriter) eof() {
	w.begin()
	w.bytes(headerEOF, 0, 0, statusAutocommit, 0)
	w.end()
}

func (w *packetWriter) err(code int, text string) {
	state := sqlStates[code]
	if state == "" {
		state = sqlStateGeneral
	}
	w.begin()
	w.bytes(headerError, byte(code), byte(code>>8), '#')
	w.buffer = append(append(w.buffer, state...), text...)
	w.end()
}

// result writes a text result set: the column count, the column definitions, EOF, the rows, EOF.
func (w *packetWriter) result(result *router.Result) {
	width := len(result.Columns)
	w.begin()
	w.lenencInt(uint64(width))
	w.end()
	for _, name := range result.Columns {
		w.column(name)
	}
	w.eof()
	for i := 0; i+width <= len(result.Cells) && width > 0; i += width {
		w.row(result.Cells[i : i+width])
	}
	w.eof()
}

// column writes the definition of a column of strings.
func (w *packetWriter) column(name string) {
	w.begin()
	for _, s := range []string{"def", "", "", "", name, ""} { // catalog, schema, table alias, table, column alias, column
		w.lenencString(s)
	}
	w.bytes(fixedColumnLength, charsetUTF8MB4, 0, 0, 0, 1, 0, typeVarString, 0, 0, 0, 0, 0)
	w.end()
}

func (w *packetWriter) row(cells []router.Cell) {
	w.begin()
	for _, cell := range cells {
		if cell.Null {
			w.bytes(headerNull)
		} else {
			w.lenencString(cell.Text)
		}
	}
	w.end()
}
