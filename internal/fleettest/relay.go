package fleettest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Direction of a relay's bytes.
type Direction int

// Up is from who dials the relay to its target, Down the other way.
const (
	Up Direction = iota
	Down
)

const (
	// segmentHeaderBytes are those of a segment: Ethernet 14, IPv4 20, TCP with timestamps 32 bytes.
	segmentHeaderBytes = 66
	// maxSegmentPayload is the payload that one segment carries at most, on a path for 1,500 bytes.
	maxSegmentPayload = 1448
)

// Traffic is what went over a relay in one direction.
type Traffic struct {
	Payload  int64 // bytes
	Segments int64 // segments that carried it, one at least for each piece that was read
}

// Relay is a link that a test cuts, makes silent or slow, for each direction apart, and that counts bytes.
type Relay struct {
	Addr string

	target     string
	listener   net.Listener
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced when what it does has changed
	cut        bool
	blackholed [2]bool
	delay      [2]time.Duration
	conns      map[net.Conn]bool
	count      [2]Traffic
	opened     int64
}

// NewRelay relays to a target until the test's end.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	lis, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{Addr: lis.Addr().String(), target: target, listener: lis, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go r.accept()
	t.Cleanup(func() {
		_ = lis.Close()
		r.Cut()
	})
	return r
}

// Cut resets all connections, and each new one as it comes, until Mend.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		reset(c)
	}
	r.notify()
}

// Blackhole has nothing pass in a direction; connections stay and new ones come up. Bytes wait until Mend.
func (r *Relay) Blackhole(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blackholed[d] = true
	r.notify()
}

// Delay has each piece wait for that long in a direction.
func (r *Relay) Delay(d Direction, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[d] = delay
	r.notify()
}

// Heal has everything pass again.
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

// Count is what went in a direction so far.
func (r *Relay) Count(d Direction) Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[d]
}

// Opened is how many connections came up.
func (r *Relay) Opened() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// WireBytes is what went over the link so far in both directions with headers: those of the segments, and a bare acknowledgement
// for each piece, and seven segments without payload for the start and end of each connection. It is reckoned, since
// loopback has no segments of a path's size.
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
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(near)
	}
}

func (r *Relay) carry(near net.Conn) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	r.mu.Lock()
	r.opened++
	if r.conns[near], r.conns[far] = true, true; r.cut {
		reset(near)
		reset(far)
	}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	for _, way := range []struct {
		from, to net.Conn
		d        Direction
	}{{near, far, Up}, {far, near, Down}} {
		go func() {
			defer both.Done()
			r.copyDirection(way.from, way.to, way.d)
		}()
	}
	both.Wait()
	r.mu.Lock()
	delete(r.conns, near)
	delete(r.conns, far)
	r.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copyDirection carries one direction; its end is passed on as such.
func (r *Relay) copyDirection(from, to net.Conn, d Direction) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.awaitPassage(d) {
				return
			}
			r.mu.Lock() // ahead of the write, so that who has got something finds it counted
			r.count[d].Payload += int64(n)
			r.count[d].Segments += int64((n + maxSegmentPayload - 1) / maxSegmentPayload)
			r.mu.Unlock()
			if _, bad := to.Write(buf[:n]); bad != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}

// awaitPassage waits for as long as a direction is silent or slow; false says that the link was cut meanwhile.
func (r *Relay) awaitPassage(d Direction) bool {
	var due <-chan time.Time
	for delayed := false; ; {
		r.mu.Lock()
		cut, silent, wait, news := r.cut, r.blackholed[d], r.delay[d], r.changed
		r.mu.Unlock()
		switch {
		case cut:
			return false
		case silent:
			<-news
		case wait > 0 && !delayed:
			if due == nil {
				due = time.After(wait)
			}
			select {
			case <-due:
				delayed = true
			case <-news:
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
