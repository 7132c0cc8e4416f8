package fleettest

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// startEchoServer starts a server that sends back its input, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return listener.Addr().String()
}

// echoText sends a text to the echo server and waits for its return within a time limit.
func echoText(c net.Conn, text string, within time.Duration) error {
	if _, err := c.Write([]byte(text)); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

// A relay counts bytes, and blackholes, delays, cuts and heals its connections as requested, in either direction.
func TestRelay(t *testing.T) {
	r := NewRelay(t, startEchoServer(t))
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", r.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	c := dial()
	if err := echoText(c, "hello", WaitTimeout); err != nil {
		t.Fatal(err)
	}
	if up, down := r.Count(Upstream), r.Count(Downstream); up != (Traffic{5, 1}) || down != up {
		t.Errorf("counted %+v upstream and %+v downstream, want 5 bytes in 1 segment each", up, down)
	}
	if got, want := r.WireBytes(), int64(7*66+2*5+2*2*66); got != want {
		t.Errorf("%d bytes including headers, want %d", got, want)
	}
	for _, d := range []Direction{Upstream, Downstream} {
		r.Blackhole(d)
		if err := echoText(c, "a", 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("blackholed direction %d: got error %v, want a timeout", d, err)
		}
		r.Heal()
		_ = c.SetReadDeadline(time.Now().Add(WaitTimeout))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("direction %d after Heal: %v", d, err)
		}
		r.Delay(d, 80*time.Millisecond)
		from := time.Now()
		if err := echoText(c, "b", WaitTimeout); err != nil || time.Since(from) < 80*time.Millisecond {
			t.Errorf("delayed direction %d: error %v after %v, want none after at least 80ms", d, err, time.Since(from))
		}
		r.Heal()
	}
	r.Cut()
	if err := echoText(c, "c", WaitTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("existing connection after Cut: error %v, want a reset", err)
	}
	late, err := net.Dial("tcp", r.Addr) // the reset may arrive before the dial has returned
	if err == nil {
		t.Cleanup(func() { _ = late.Close() })
		err = echoText(late, "d", WaitTimeout)
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new connection after Cut: error %v, want a reset", err)
	}
	r.Heal()
	if err := echoText(dial(), "e", WaitTimeout); err != nil {
		t.Error("new connection after Heal:", err)
	}
}
