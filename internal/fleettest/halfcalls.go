package fleettest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HalfCalls describes gRPC calls whose clients stop in the middle.
type HalfCalls struct {
	Calls   int // on one connection
	Fields  int // further header fields of each call, all of them short
	Declare int // length of the message that each call declares, in bytes
	Send    int // bytes of it that are sent
}

// maxDataFrame is the length of the data frames, which every HTTP/2 server accepts.
const maxDataFrame = 16 << 10

// OpenHalfCalls opens a connection with half calls to a Flight SQL front, which stays open until the end of the test. It
// sends as much as the server reads.
func OpenHalfCalls(tb testing.TB, addr string, calls HalfCalls) net.Conn {
	tb.Helper()
	conn, err := net.DialTimeout("tcp", addr, WaitTimeout)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.Copy(io.Discard, conn) }() // returns when the connection ends
	_ = conn.SetWriteDeadline(time.Now().Add(WaitTimeout))
	_, _ = conn.Write(calls.bytes(addr)) // fails if the server closes the connection, which it may
	return conn
}

// bytes returns all frames that the client sends.
func (h HalfCalls) bytes(addr string) []byte {
	var out, block bytes.Buffer
	out.WriteString(http2.ClientPreface)
	framer, encoder := http2.NewFramer(&out, nil), hpack.NewEncoder(&block)
	_ = framer.WriteSettings()
	for i := range h.Calls {
		block.Reset()
		field := func(name, value string) { _ = encoder.WriteField(hpack.HeaderField{Name: name, Value: value}) }
		field(":method", "POST")
		field(":scheme", "http")
		field(":path", "/arrow.flight.protocol.FlightService/GetFlightInfo")
		field(":authority", addr)
		field("content-type", "application/grpc")
		field("te", "trailers")
		for n := range h.Fields {
			field(fmt.Sprintf("f%x", n), "1")
		}
		stream := uint32(2*i + 1)
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
		content := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(h.Declare)), make([]byte, h.Send)...)
		for len(content) > 0 {
			length := min(len(content), maxDataFrame)
			_ = framer.WriteData(stream, false, content[:length])
			content = content[length:]
		}
	}
	return out.Bytes()
}
