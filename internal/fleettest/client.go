package fleettest

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Meter counts the bytes and segments of connections of which the test process is one end.
type Meter struct{ payload, segments, opened atomic.Int64 }

// WireBytes returns the bytes of the connections so far including headers, computed as by Relay.WireBytes.
func (m *Meter) WireBytes() int64 {
	return 7*segmentHeaderBytes*m.opened.Load() + m.payload.Load() + 2*segmentHeaderBytes*m.segments.Load()
}

// meteredConn is a connection whose bytes a meter counts.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// count adds the bytes of one read or write.
func (m *Meter) count(n int) {
	m.payload.Add(int64(n))
	m.segments.Add(int64((n + maxSegmentPayload - 1) / maxSegmentPayload))
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.count(n)
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.count(n)
	return n, err
}

// meteredListener accepts connections whose bytes a meter counts.
type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.meter.opened.Add(1)
	return meteredConn{c, l.meter}, nil
}

// Client is a minimal client of the MySQL protocol.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to a router and logs in. Each of the meters counts the bytes of the connection.
func Dial(addr string, meters ...*Meter) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, WaitTimeout)
	if err != nil {
		return nil, err
	}
	for _, m := range meters {
		m.opened.Add(1)
		conn = meteredConn{conn, m}
	}
	client := &Client{conn: conn, reader: bufio.NewReaderSize(conn, 512)}
	_ = conn.SetDeadline(time.Now().Add(WaitTimeout))
	login := binary.LittleEndian.AppendUint32(nil, 0x000fa20d)
	login = append(append(login, 0, 0, 0, 1, 45), make([]byte, 23)...)
	login = append(login, "app\x00\x00warehouse\x00mysql_native_password\x00"...)
	if err = client.write(1, login); err == nil {
		for range 2 { // the server's greeting, and OK
			if _, err = client.packet(); err != nil {
				break
			}
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return client, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// write sends a packet with a sequence number.
func (c *Client) write(seq byte, body []byte) error {
	_, err := c.conn.Write(append([]byte{byte(len(body)), byte(len(body) >> 8), byte(len(body) >> 16), seq}, body...))
	return err
}

// packet reads the next packet and returns its body.
func (c *Client) packet() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	body := make([]byte, int(header[0])|int(header[1])<<8|int(header[2])<<16)
	_, err := io.ReadFull(c.reader, body)
	return body, err
}

// Ping sends COM_PING and waits for the response. It returns an error for a response other than OK.
func (c *Client) Ping() error {
	_ = c.conn.SetDeadline(time.Now().Add(WaitTimeout))
	if err := c.write(0, []byte{14}); err != nil {
		return err
	}
	p, err := c.packet()
	if err == nil && (len(p) == 0 || p[0] != 0) {
		err = fmt.Errorf("got a packet that begins with % x, want OK", p[:min(len(p), 8)])
	}
	return err
}

// Query sends a lookup with the given id and reads its complete result. It returns an error if the router responds with
// one.
func (c *Client) Query(id uint64) error {
	_ = c.conn.SetDeadline(time.Now().Add(WaitTimeout))
	text := fmt.Sprintf("/* method=lookup,rid=%016x,budget=5000 */ SELECT day, "+
		"count(*) FROM sales_%02d.orders GROUP BY day", id, id%64)
	if err := c.write(0, append([]byte{3}, text...)); err != nil {
		return err
	}
	for endMarkers := 0; endMarkers < 2; {
		p, err := c.packet()
		switch {
		case err != nil:
			return err
		case len(p) > 2 && p[0] == 0xff:
			return fmt.Errorf("error %d: %s", binary.LittleEndian.Uint16(p[1:]), p[3:])
		case len(p) > 0 && p[0] == 0xfe && len(p) < 9:
			endMarkers++
		}
	}
	return nil
}

// StubEngines are simulated HTTP engines, each with its own address. They respond to any statement immediately with one
// row.
type StubEngines struct {
	Engines    []Engine
	Statements atomic.Int64 // received
	Meter      Meter
}

// NewStubEngines starts n engines, which run until the end of the test.
func NewStubEngines(tb testing.TB, n int) *StubEngines {
	tb.Helper()
	s := &StubEngines{Engines: Engines(n)}
	for i := range s.Engines {
		listener, err := listen()
		if err != nil {
			tb.Fatal(err)
		}
		server := &http.Server{Handler: s}
		go func() { _ = server.Serve(meteredListener{listener, &s.Meter}) }()
		tb.Cleanup(func() { _ = server.Close() })
		s.Engines[i].Address = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return s
}

// ServeHTTP implements http.Handler. A POST is a statement; the response is its complete result.
func (s *StubEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		_, _ = io.Copy(io.Discard, r.Body)
		s.Statements.Add(1)
	}
	w.Header().Set("X-Parts", "1")
	_, _ = io.WriteString(w, "a\tb\tc\n")
}
