package fleettest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Direction is the direction of the bytes of a relay.
type Direction int

// Upstream is the direction from the relay's client to its target, Downstream the opposite one.
const (
	Upstream Direction = iota
	Downstream
)

const (
	// segmentHeaderBytes is the size of a segment's headers: Ethernet 14, IPv4 20, TCP with timestamps 32 bytes.
	segmentHeaderBytes = 66
	// maxSegmentPayload is the maximum payload of a segment in bytes, with an MTU of 1,500 bytes.
	maxSegmentPayload = 1448
)

// Traffic counts the bytes and segments of a relay in one direction.
type Traffic struct {
	Payload  int64 // bytes
	Segments int64 // for the payload, at least one for each read
}

// Relay forwards connections to a target and counts their bytes. A test can cut it, and blackhole or delay it in each
// direction.
type Relay struct {
	Addr string

	target     string
	listener   net.Listener
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced when the faults change
	cut        bool
	blackholed [2]bool
	delay      [2]time.Duration
	conns      map[net.Conn]bool
	count      [2]Traffic
	opened     int64
}

// NewRelay starts a relay to a target, which runs until the end of the test.
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

// Cut resets all connections. Until Heal, it also resets each new connection after accepting it.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		reset(c)
	}
	r.notify()
}

// Blackhole holds back all bytes in a direction until Heal. Connections stay open, and new ones are accepted.
func (r *Relay) Blackhole(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blackholed[d] = true
	r.notify()
}

// Delay delays the data of each read in a direction, until Heal.
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

// notify wakes up all that wait for a change of the faults. The caller holds the lock.
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

// Opened returns the number of connections made to the target so far.
func (r *Relay) Opened() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// WireBytes returns the bytes on the link so far in both directions, including headers. It counts the segments, one
// acknowledgement without payload for each, and seven segments without payload for the start and end of each
// connection. The result is computed, because loopback does not use segments of that size.
func (r *Relay) WireBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 7 * segmentHeaderBytes * r.opened
	for _, c := range r.count {
		sum += c.Payload + 2*segmentHeaderBytes*c.Segments
	}
	return sum
}

// accept forwards each connection in a goroutine, until the listener is closed.
func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client) // returns when the connection ends
	}
}

// forward connects to the target and copies both directions until they end.
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

// copyDirection copies one direction of a connection, and closes the write side of the target at the end of the source.
func (r *Relay) copyDirection(source, target net.Conn, d Direction) {
	buf := make([]byte, 64<<10)
	for {
		n, err := source.Read(buf)
		if n > 0 {
			if !r.awaitForwarding(d) {
				return
			}
			r.mu.Lock() // before the write, so that everything that a peer has received is counted
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

// awaitForwarding waits while a direction is blackholed or delayed. It returns false if the link was cut meanwhile.
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

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
