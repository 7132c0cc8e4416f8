package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	// idleFlightClients is the number of clients that stay connected without a call: max_connections of
	// deploy/windflow.json.
	idleFlightClients = 32
	flightBudget      = 5 * time.Second
	// flightSlack is how long after its time a request may still be answered; later it is lost.
	flightSlack = 500 * time.Millisecond
)

// playFlight has idle clients hold all connections of the Flight SQL front, and one more send a call. That call has to
// get an answer, or its connection has to end. Without the disruption there are no idle clients.
func playFlight(stage *world) error {
	if err := stage.addEngines(2, func(query) time.Duration { return 20 * time.Millisecond }); err != nil {
		return err
	}
	if err := stage.startBoard(0); err != nil {
		return err
	}
	port, err := freePort()
	if err != nil {
		return err
	}
	address := fmt.Sprintf("127.0.0.1:%d", port)
	if err := stage.startWithFlight(address, []string{}); err != nil {
		return err
	}
	if trouble() {
		for i := range idleFlightClients {
			idle, err := dialFlight(address)
			if err != nil {
				return fmt.Errorf("idle client %d: %w", i, err)
			}
			defer idle.Close()
		}
		stage.rec.printf("%d idle clients are connected", idleFlightClients)
	}
	return stage.callFlight(address)
}

// dialFlight opens an HTTP/2 connection and waits for the server's settings.
func dialFlight(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	var start bytes.Buffer
	start.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&start, conn)
	_ = framer.WriteSettings()
	if _, err := conn.Write(start.Bytes()); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	frame, err := framer.ReadFrame()
	if _, ok := frame.(*http2.SettingsFrame); err != nil || !ok {
		return nil, fmt.Errorf("no settings: %v, %w", frame, err)
	}
	start.Reset()
	_ = framer.WriteSettingsAck()
	_, err = conn.Write(start.Bytes())
	return conn, err
}

// callFlight writes a GetFlightInfo, whole, on a new connection, as HTTP/2 allows before the server's settings have
// come, and waits for the answer.
func (w *world) callFlight(address string) error {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	id := newRequestID()
	call, err := flightCall(address, id)
	if err != nil {
		return err
	}
	if _, err := conn.Write(call); err != nil {
		return err
	}
	sent := time.Now()
	w.rec.printf("flight client: sent GetFlightInfo %s, budget %v, %d bytes", id, flightBudget, len(call))
	_ = conn.SetReadDeadline(sent.Add(flightBudget + flightSlack))
	err = readFlightAnswer(conn)
	w.rec.printf("flight client: after %.3f s: %v", time.Since(sent).Seconds(), err)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: request %s got no answer within its budget of %v and %v more, and its connection stayed open",
			errBroken, id, flightBudget, flightSlack)
	}
	return nil // answered, or its connection was shut
}

// flightCall returns the bytes of a connection's beginning and of a GetFlightInfo.
func flightCall(address, id string) ([]byte, error) {
	var statement anypb.Any
	text := "SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day"
	if err := statement.MarshalFrom(&pb.CommandStatementQuery{Query: text}); err != nil {
		return nil, err
	}
	command, err := proto.Marshal(&statement)
	if err != nil {
		return nil, err
	}
	message, err := proto.Marshal(&flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: command})
	if err != nil {
		return nil, err
	}
	var headers bytes.Buffer
	encoder := hpack.NewEncoder(&headers)
	for _, field := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", "/arrow.flight.protocol.FlightService/GetFlightInfo"},
		{":authority", address},
		{"content-type", "application/grpc"},
		{"te", "trailers"},
		{"method", "lookup"},
		{"rid", id},
		{"budget", fmt.Sprint(flightBudget.Milliseconds())},
		{"acct", "rckik-south"},
	} {
		_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	var out bytes.Buffer
	out.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&out, nil)
	_ = framer.WriteSettings()
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headers.Bytes(), EndHeaders: true})
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	_ = framer.WriteData(1, true, append(prefix, message...))
	return out.Bytes(), nil
}

var errFlightEnded = errors.New("the connection ended")

// readFlightAnswer reads until the end of stream 1 and returns nil, or the error that came before it.
func readFlightAnswer(conn net.Conn) error {
	framer := http2.NewFramer(conn, conn)
	for {
		frame, err := framer.ReadFrame()
		if errors.Is(err, io.EOF) {
			return errFlightEnded
		}
		if err != nil {
			return err
		}
		if header := frame.Header(); header.StreamID == 1 && header.Flags.Has(http2.FlagDataEndStream) {
			return nil
		}
		if settings, ok := frame.(*http2.SettingsFrame); ok && !settings.IsAck() {
			_ = framer.WriteSettingsAck()
		}
	}
}
