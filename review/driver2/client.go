package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// ioTimeout bounds each read and write of a client, beyond any deadline of a request.
const ioTimeout = 40 * time.Second

// Codes of errors that refuse a request.
const (
	errorTooManyConnections = 1040
	errorOutOfResources     = 1203
	errorOverLimit          = 1226
)

// answer is the answer to one command.
type answer struct {
	code int      // of an error; 0 for OK or a result
	text string   // of an error
	rows []string // of a result, columns separated by a space
}

// refused reports whether the answer is a refusal: trying again is harmless.
func (a answer) refused() bool {
	return a.code == errorTooManyConnections || a.code == errorOutOfResources || a.code == errorOverLimit
}

func (a answer) String() string {
	if a.code != 0 {
		return fmt.Sprintf("error %d, %q", a.code, a.text)
	}
	return fmt.Sprintf("served, %d rows", len(a.rows))
}

// client is a session of a client of the MySQL protocol.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	id   uint32 // the connection id of the greeting
}

// dialClient opens a session and logs in.
func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	if err := c.login(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) login() error {
	greeting, err := c.readPacket()
	if err != nil {
		return err
	}
	if len(greeting) == 0 || greeting[0] == 0xff {
		return fmt.Errorf("no greeting: %v", parseError(greeting))
	}
	if end := strings.IndexByte(string(greeting[1:]), 0); end >= 0 && len(greeting) >= end+6 {
		c.id = binary.LittleEndian.Uint32(greeting[end+2:])
	}
	const capabilities = 1<<0 | 1<<3 | 1<<9 | 1<<13 | 1<<15
	login := binary.LittleEndian.AppendUint32(nil, capabilities)
	login = binary.LittleEndian.AppendUint32(login, 1<<24)
	login = append(login, 45)
	login = append(login, make([]byte, 23)...)
	login = append(login, "app\x00\x00warehouse\x00"...)
	if err := c.write(packet(1, login)); err != nil {
		return err
	}
	reply, err := c.readPacket()
	if err != nil {
		return err
	}
	if len(reply) == 0 || reply[0] != 0 {
		return fmt.Errorf("login failed: %v", parseError(reply))
	}
	return nil
}

func packet(number byte, body []byte) []byte {
	length := len(body)
	return append([]byte{byte(length), byte(length >> 8), byte(length >> 16), number}, body...)
}

// command returns the packet of a COM_QUERY.
func command(text string) []byte { return packet(0, append([]byte{3}, text...)) }

func (c *client) write(bytes []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(ioTimeout))
	_, err := c.conn.Write(bytes)
	return err
}

func (c *client) readPacket() ([]byte, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(ioTimeout))
	var header [4]byte
	if _, err := io.ReadFull(c.in, header[:]); err != nil {
		return nil, err
	}
	body := make([]byte, int(header[0])|int(header[1])<<8|int(header[2])<<16)
	_, err := io.ReadFull(c.in, body)
	return body, err
}

// ping sends COM_PING and waits for OK.
func (c *client) ping() error {
	if err := c.write(packet(0, []byte{0x0e})); err != nil {
		return err
	}
	reply, err := c.readPacket()
	if err == nil && (len(reply) == 0 || reply[0] != 0) {
		err = errors.New("no OK to COM_PING")
	}
	return err
}

// readAnswer reads the whole answer to a command. An error means that the connection ended without one.
func (c *client) readAnswer() (answer, error) {
	first, err := c.readPacket()
	if err != nil {
		return answer{}, err
	}
	switch {
	case len(first) == 0:
		return answer{}, errors.New("empty packet")
	case first[0] == 0xff:
		return parseError(first), nil
	case first[0] == 0:
		return answer{}, nil
	}
	result := answer{}
	for eofs := 0; eofs < 2; {
		body, err := c.readPacket()
		switch {
		case err != nil:
			return answer{}, err
		case len(body) > 0 && body[0] == 0xfe && len(body) < 9:
			eofs++
		case len(body) > 0 && body[0] == 0xff:
			return parseError(body), nil
		case eofs == 1:
			result.rows = append(result.rows, parseRow(body))
		}
	}
	return result, nil
}

func parseError(body []byte) answer {
	if len(body) < 9 {
		return answer{code: -1, text: "malformed error"}
	}
	return answer{code: int(binary.LittleEndian.Uint16(body[1:])), text: string(body[9:])}
}

// parseRow returns the columns of a row, which are shorter than 251 bytes here.
func parseRow(body []byte) string {
	var columns []string
	for len(body) > 0 && int(body[0]) < len(body) {
		columns = append(columns, string(body[1:1+int(body[0])]))
		body = body[1+int(body[0]):]
	}
	return strings.Join(columns, " ")
}

var lastRequest atomic.Uint64

// newRequestID returns an id that no request has had.
func newRequestID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+lastRequest.Add(1)) }

// request is a query of a client.
type request struct {
	id, class string
	budget    time.Duration
	estimate  time.Duration
	retry     bool
	padding   int // bytes of a list in the statement
	group     int // group of tables
}

// text returns the text of the request's COM_QUERY.
func (r request) text() string {
	fields := fmt.Sprintf("method=%s,rid=%s,budget=%d,acct=rckik-south,est=%.1f,mem=16",
		r.class, r.id, r.budget.Milliseconds(), float64(r.estimate.Microseconds())/1000)
	if r.retry {
		fields += ",again=1"
	}
	table := fmt.Sprintf("sales_%d.orders", r.group)
	if r.class == "load" {
		return "/* " + fields + " */ INSERT INTO " + table + " SELECT day, num, note FROM staging.orders"
	}
	list := "'3f9c'" + strings.Repeat(",'3f9c'", r.padding/len(",'3f9c'"))
	return "/* " + fields + " */ SELECT day, count(*), max(note) FROM " + table + " WHERE tag IN (" + list +
		") GROUP BY day"
}
