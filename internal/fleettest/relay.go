package fleettest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Direction of a relay's bytes.
type Direction int

// Upstream is from the relay's client to its target, Down the other way.
const (
	Upstream Direction = iota
	Downstream
)

const (
	// segmentHeaderBytes are those of a segment: Ethernet 14, IPv4 20, TCP with timestamps 32 bytes.
	segmentHeaderBytes = 66
	// maxSegmentPayload is the payload that one segment carries at most, with an MTU of 1,500 bytes.
	maxSegmentPayload = 1448
)

// Traffic is the bytes and segments of a relay in one direction.
type Traffic struct {
	Payload  int64 // bytes
	Segments int64 // that carried it, at least one for each read
}

// Relay is a link that a test disconnects, blackholes or delays, in each direction, and that counts bytes.
type Relay struct {
	Addr string

	target     string
	listener   net.Listener
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced when its faults have changed
	cut        bool
	blackholed [2]bool
	delay      [2]time.Duration
	conns      map[net.Conn]bool
	count      [2]Traffic
	opened     int64
}

// NewRelay relays to a target until the test's end.
func NewRelay(tb testing.TB, target string) *Relay {
	tb.Helper()
	listener, err := listen()
	if err != nil {
		tb.Fatal(err)
	}
	r := &Relay{
		Addr: listener.Addr().String(), target: target, listener: listener, changed: make(chan struct{}),
		conns: map[net.Conn]bool{},
	}
	go r.accept()
	tb.Cleanup(func() {
		_ = listener.Close()
		r.Cut()
	})
	return r
}

// Cut resets all connections, and each new one once it is accepted, until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		reset(c)
	}
	r.notify()
}

// Blackhole delays all bytes in a direction until Heal; connections stay and new ones are accepted.
func (r *Relay) Blackhole(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blackholed[d] = true
	r.notify()
}

// Delay delays each read in a direction.
func (r *Relay) Delay(d Direction, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[d] = delay
	r.notify()
}

// Heal ends all faults.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.blackholed, r.delay = false, [2]bool{}, [2]time.Duration{}
	r.notify()
}

func (r *Relay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Count returns the traffic in a direction so far.
func (r *Relay) Count(d Direction) Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[d]
}

// Opened is how many connections were made.
func (r *Relay) Opened() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// WireBytes is the bytes on the link so far in both directions with headers: those of the segments, a bare
// acknowledgement for each, and seven segments without payload for the start and end of each connection. It is
// computed, since loopback has no segments of that size.
func (r *Relay) WireBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 7 * segmentHeaderBytes * r.opened
	for _, c := range r.count {
		sum += c.Payload + 2*segmentHeaderBytes*c.Segments
	}
	return sum
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client) // ends with the connection
	}
}

func (r *Relay) forward(client net.Conn) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		reset(client)
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	r.mu.Lock()
	r.opened++
	if r.conns[client], r.conns[target] = true, true; r.cut {
		reset(client)
		reset(target)
	}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	for _, stream := range []struct {
		from, to net.Conn
		d        Direction
	}{{client, target, Upstream}, {target, client, Downstream}} {
		go func() {
			defer both.Done()
			r.copyDirection(stream.from, stream.to, stream.d)
		}()
	}
	both.Wait()
	r.mu.Lock()
	delete(r.conns, client)
	delete(r.conns, target)
	r.mu.Unlock()
	_ = client.Close()
	_ = target.Close()
}

// copyDirection copies one direction, and closes the write side of the target at its end.
func (r *Relay) copyDirection(source, target net.Conn, d Direction) {
	buf := make([]byte, 64<<10)
	for {
		n, err := source.Read(buf)
		if n > 0 {
			if !r.awaitForwarding(d) {
				return
			}
			r.mu.Lock() // ahead of the write, so that what a peer has received is counted
			r.count[d].Payload += int64(n)
			r.count[d].Segments += int64((n + maxSegmentPayload - 1) / maxSegmentPayload)
			r.mu.Unlock()
			if _, writeErr := target.Write(buf[:n]); writeErr != nil {
				reset(source)
				return
			}
		}
		if err != nil {
			if c, ok := target.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}

// awaitPassage waits while a direction is blackholed or delayed; false says that the link was cut meanwhile.
func (r *Relay) awaitForwarding(d Direction) bool {
	var due <-chan time.Time
	for delayed := false; ; {
		r.mu.Lock()
		cut, blackholed, wait, changed := r.cut, r.blackholed[d], r.delay[d], r.changed
		r.mu.Unlock()
		switch {
		case cut:
			return false
		case blackholed:
			<-changed
		case wait > 0 && !delayed:
			if due == nil {
				due = time.After(wait)
			}
			select {
			case <-due:
				delayed = true
			case <-changed:
			}
		default:
			return true
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
