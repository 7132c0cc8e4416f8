package fleettest

import (
	"io"
	"sync/atomic"
	"testing"
	"time"
)

// floodWriteBytes is the number of bytes that a flood writes at once.
const floodWriteBytes = 64 << 10

// Flood is a client that sends commands on one connection as fast as it can, and reads the answers.
type Flood struct {
	Sent atomic.Int64 // bytes

	client  *Client
	stopped atomic.Bool
	ended   chan struct{}
}

// StartFlood logs in and starts to send commands. command returns the body of the i-th one. The flood ends with Stop, at
// the end of the test, or when the router closes the connection.
func StartFlood(tb testing.TB, addr string, command func(i int) []byte) *Flood {
	tb.Helper()
	client, err := Dial(addr)
	if err != nil {
		tb.Fatal(err)
	}
	_ = client.conn.SetDeadline(time.Time{})
	flood := &Flood{client: client, ended: make(chan struct{})}
	go func() { _, _ = io.Copy(io.Discard, client.conn) }() // returns when the connection ends
	go flood.send(command)
	tb.Cleanup(flood.Stop)
	return flood
}

func (f *Flood) send(command func(i int) []byte) {
	defer close(f.ended)
	for i := 0; !f.stopped.Load(); {
		var packets []byte
		for ; len(packets) < floodWriteBytes; i++ {
			body := command(i)
			packets = append(packets, byte(len(body)), byte(len(body)>>8), byte(len(body)>>16), 0)
			packets = append(packets, body...)
		}
		n, err := f.client.conn.Write(packets)
		f.Sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Stop ends the flood and closes its connection.
func (f *Flood) Stop() {
	f.stopped.Store(true)
	_ = f.client.Close()
	<-f.ended
}
