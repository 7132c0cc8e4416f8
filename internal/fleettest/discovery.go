package fleettest

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"windflow/dispatch"
	"windflow/internal/settings"
)

// Zones and Kinds are those of every fleet of the rig; records of the board point into them.
var (
	Zones = []string{"z0", "z1", "z2", "z3", "z4", "z5"}
	Kinds = []string{"std"}
)

const (
	// heartbeatInterval is how often a board sends a frame to a follower that there is nothing else for.
	heartbeatInterval = time.Second
	// keptFrames is how many events a board keeps for followers that come back; one that is further behind gets the whole
	// list.
	keptFrames = 256
	// ioTimeout is how long a follower may leave a frame unread before the board drops it.
	ioTimeout = 5 * time.Second

	frameHeartbeat, frameComplete, frameIncremental = 0, 1, 2
)

// Engine is one of a stand-in board's list.
type Engine struct {
	ID        dispatch.EngineID
	Address   netip.AddrPort // IPv4
	Zone      int            // in Zones
	State     dispatch.EndpointState
	StartedMS uint64 // Unix milliseconds
}

// Engines gives n engines, dealt over the zones in turn, at addresses where nobody is.
func Engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		at := netip.AddrFrom4([4]byte{127, 200, byte(i >> 8), byte(i)})
		list[i] = Engine{ID: dispatch.EngineID(i + 1), Address: netip.AddrPortFrom(at, 1), Zone: i % len(Zones)}
	}
	return list
}

// DiscoveryServer is a stand-in for the notice board, written from the frames that our own follower reads (internal/discovery): a length,
// an event's number, a kind, and records of 27 bytes. It serves hundreds of followers from their last event on.
type DiscoveryServer struct {
	Addr string

	listener     net.Listener
	mu           sync.Mutex
	changed      chan struct{} // closed and replaced with each event and each link that comes or goes
	number       uint64
	list         map[dispatch.EngineID]Engine
	order        []dispatch.EngineID
	recentFrames [][]byte // frames of the last events
	connections  map[net.Conn]bool

	Accepted  atomic.Int64 // links ever
	SentBytes atomic.Int64 // bytes, without headers
}

// NewDiscoveryServer starts a board with a list, which is event 1, and ends it with the test.
func NewDiscoveryServer(t testing.TB, engines []Engine) *DiscoveryServer {
	t.Helper()
	b, err := startDiscoveryServer(engines)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func startDiscoveryServer(engines []Engine) (*DiscoveryServer, error) {
	lis, err := listen()
	if err != nil {
		return nil, err
	}
	b := &DiscoveryServer{
		listener: lis, Addr: lis.Addr().String(), changed: make(chan struct{}), list: map[dispatch.EngineID]Engine{},
		connections: map[net.Conn]bool{},
	}
	b.publish(frameComplete, engines)
	go b.accept()
	return b, nil
}

// Close ends the board and its links.
func (b *DiscoveryServer) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.connections {
		_ = c.Close()
	}
}

// Change tells of engines in one event, and gives its number.
func (b *DiscoveryServer) Change(engines ...Engine) uint64 {
	return b.publish(frameIncremental, engines)
}

// Replace tells of a whole list, and gives the event's number.
func (b *DiscoveryServer) Replace(engines []Engine) uint64 { return b.publish(frameComplete, engines) }

// LastEvent is that of the last event.
func (b *DiscoveryServer) LastEvent() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.number
}

func (b *DiscoveryServer) publish(kind byte, engines []Engine) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	if kind == frameComplete {
		clear(b.list)
		b.order = b.order[:0]
	}
	for _, e := range engines {
		if _, known := b.list[e.ID]; !known {
			b.order = append(b.order, e.ID)
		}
		b.list[e.ID] = e
	}
	if b.recentFrames = append(b.recentFrames, encodeFrame(b.number, kind, engines)); len(b.recentFrames) > 2*keptFrames {
		b.recentFrames = append([][]byte(nil), b.recentFrames[keptFrames:]...)
	}
	b.notify()
	return b.number
}

func (b *DiscoveryServer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// encodeFrame is an event as it stands on the wire.
func encodeFrame(number uint64, kind byte, engines []Engine) []byte {
	out := binary.BigEndian.AppendUint32(make([]byte, 0, 13+27*len(engines)), uint32(9+27*len(engines)))
	out = append(binary.BigEndian.AppendUint64(out, number), kind)
	for _, e := range engines {
		ip := e.Address.Addr().As4()
		out = append(binary.BigEndian.AppendUint32(out, uint32(e.ID)), ip[:]...)
		out = binary.BigEndian.AppendUint16(out, e.Address.Port())
		out = append(out, byte(e.State), byte(e.Zone), 0)
		out = binary.BigEndian.AppendUint16(out, uint16(e.Zone))
		out = binary.BigEndian.AppendUint32(out, 1000)
		out = binary.BigEndian.AppendUint64(out, e.StartedMS)
	}
	return out
}

// framesAfter gives the frames that a follower lacks: those of its next events or, where it is new or far behind, the whole list.
func (b *DiscoveryServer) framesAfter(last uint64) (frames [][]byte, now uint64, news chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	behind := b.number - last
	switch {
	case last > b.number || behind == 0:
	case last == 0 || behind > uint64(len(b.recentFrames)):
		list := make([]Engine, len(b.order))
		for i, id := range b.order {
			list[i] = b.list[id]
		}
		frames = [][]byte{encodeFrame(b.number, frameComplete, list)}
	default:
		frames = append(frames, b.recentFrames[len(b.recentFrames)-int(behind):]...)
	}
	return frames, max(b.number, last), b.changed
}

func (b *DiscoveryServer) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *DiscoveryServer) serve(c net.Conn) {
	defer c.Close()
	var asked [8]byte
	_ = c.SetReadDeadline(time.Now().Add(ioTimeout))
	if _, err := io.ReadFull(c, asked[:]); err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	b.Accepted.Add(1)
	b.setConnected(c, true)
	defer b.setConnected(c, false)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, c)
	}()
	last := binary.BigEndian.Uint64(asked[:])
	pulse := time.NewTicker(heartbeatInterval)
	defer pulse.Stop()
	for {
		frames, now, news := b.framesAfter(last)
		for _, f := range frames {
			if !b.write(c, f) {
				return
			}
		}
		last = now
		select {
		case <-news:
		case <-gone:
			return
		case <-pulse.C:
			if !b.write(c, encodeFrame(last, frameHeartbeat, nil)) {
				return
			}
		}
	}
}

func (b *DiscoveryServer) write(c net.Conn, f []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(ioTimeout))
	n, err := c.Write(f)
	b.SentBytes.Add(int64(n))
	return err == nil
}

func (b *DiscoveryServer) setConnected(c net.Conn, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if up {
		b.connections[c] = true
	} else {
		delete(b.connections, c)
	}
	b.notify()
}

// AwaitConnections waits until as many followers are linked.
func (b *DiscoveryServer) AwaitConnections(t testing.TB, n int) {
	t.Helper()
	late := time.NewTimer(WaitTimeout)
	defer late.Stop()
	for {
		b.mu.Lock()
		have, news := len(b.connections), b.changed
		b.mu.Unlock()
		if have == n {
			return
		}
		select {
		case <-news:
		case <-late.C:
			t.Fatalf("%d followers are linked to the board, want %d within %v", have, n, WaitTimeout)
		}
	}
}

// KnownEvents is a list as a router's configuration holds it, as event 1; without engines the router knows of no event yet.
func KnownEvents(engines []Engine) json.RawMessage {
	phases := map[dispatch.EndpointState]string{dispatch.Live: "active", dispatch.Draining: "leaving", dispatch.Removed: "left"}
	type member struct {
		ID       string  `json:"id"`
		HostPort string  `json:"host_port"`
		Locality string  `json:"locality"`
		Flavor   string  `json:"flavor"`
		Cell     int     `json:"cell"`
		Phase    string  `json:"phase"`
		Size     float64 `json:"size"`
		UpSince  uint64  `json:"up_since_ms"`
	}
	members := make([]member, len(engines))
	for i, e := range engines {
		members[i] = member{settings.FormatID(e.ID), e.Address.String(), Zones[e.Zone], Kinds[0], e.Zone, phases[e.State], 1, e.StartedMS}
	}
	if len(engines) == 0 {
		return json.RawMessage(`{"rev":0,"notices":[]}`)
	}
	text, err := json.Marshal(map[string]any{"rev": 1, "notices": []any{map[string]any{
		"rev":  1,
		"pool": map[string]any{"revision": 1, "complete": true, "members": members},
	}}})
	if err != nil {
		panic(fmt.Sprint("a list that is no JSON: ", err))
	}
	return text
}
