package node

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
)

// mysqlClient is a minimal client for the MySQL protocol.
type mysqlClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialMySQL connects to an address and logs in.
func dialMySQL(addr string) (*mysqlClient, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	m := &mysqlClient{conn: c, reader: bufio.NewReader(c)}
	if err := m.sendLogin(); err != nil {
		return nil, err
	}
	for range 2 { // the greeting and the OK packet
		if _, err := m.packet(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// sendLogin sends the answer to the greeting. It does not read the server's answer.
func (m *mysqlClient) sendLogin() error {
	login := binary.LittleEndian.AppendUint32(nil, 0x000fa20d)
	login = append(login, 0, 0, 0, 1, 45)
	login = append(login, make([]byte, 23)...)
	login = append(login, "app\x00\x00warehouse\x00mysql_native_password\x00"...)
	return m.write(1, login)
}

// write sends one packet with that sequence number.
func (m *mysqlClient) write(seq byte, body []byte) error {
	_, err := m.conn.Write(append([]byte{byte(len(body)), byte(len(body) >> 8), byte(len(body) >> 16), seq}, body...))
	return err
}

// packet reads one packet and returns its payload.
func (m *mysqlClient) packet() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(m.reader, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(m.reader, body)
	return body, err
}

// exchange sends a query and reads the complete answer. It returns the number of rows, or the code of an error packet.
func (m *mysqlClient) exchange(query string) (rows, code int, err error) {
	if err := m.write(0, append([]byte{3}, query...)); err != nil {
		return 0, 0, err
	}
	return m.answer()
}

// answer reads the complete answer to a query that was sent. It returns the same as exchange.
func (m *mysqlClient) answer() (rows, code int, err error) {
	ends := 0
	for first := true; ends < 2; first = false {
		p, err := m.packet()
		switch {
		case err != nil:
			return 0, 0, err
		case p[0] == 0xff:
			return 0, int(binary.LittleEndian.Uint16(p[1:])), nil
		case p[0] == 0xfe && len(p) < 9:
			ends++
		case ends == 1 && !first:
			rows++
		}
	}
	return rows, 0, nil
}

// ping sends a ping, and fails if anything but one OK packet is received, such as a second answer to the previous
// query.
func (m *mysqlClient) ping() error {
	if err := m.write(0, []byte{14}); err != nil {
		return err
	}
	p, err := m.packet()
	if err == nil && (p[0] != 0 || m.reader.Buffered() > 0) {
		err = fmt.Errorf("received % x and %d further bytes, want one OK packet", p[:min(len(p), 8)], m.reader.Buffered())
	}
	return err
}

// requireServed sends a query and ends the test at once unless the complete answer is one row.
func requireServed(t *testing.T, c *mysqlClient, query string) {
	t.Helper()
	if rows, code, err := c.exchange(query); rows != 1 || code != 0 || err != nil {
		t.Fatalf("%s: %d rows, error %d, %v; want one row", query, rows, code, err)
	}
}

// checkServed sends a query and fails the test unless the complete answer is one row.
func checkServed(t *testing.T, c *mysqlClient, query string) {
	t.Helper()
	if err := c.write(0, append([]byte{3}, query...)); err != nil {
		t.Error(query, err)
		return
	}
	checkServedAnswer(t, c, query)
}

// checkServedAnswer reads the answer to a query that was sent, and fails the test unless the complete answer is one
// row.
func checkServedAnswer(t *testing.T, c *mysqlClient, what string) {
	t.Helper()
	if rows, code, err := c.answer(); rows != 1 || code != 0 || err != nil {
		t.Errorf("%s: %d rows, error %d, %v; want one row", what, rows, code, err)
	}
}

// checkClosed fails the test unless the server closes the connection without a reset and nothing is left to read.
func checkClosed(t *testing.T, name string, c *mysqlClient) {
	t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("connection %s: read error %v, want EOF", name, err)
	}
}
