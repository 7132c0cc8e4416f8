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

// Zones and Kinds are the zones and engine kinds of every fleet of the harness. Records of endpoint events contain
// indexes into them.
var (
	Zones = []string{"z0", "z1", "z2", "z3", "z4", "z5"}
	Kinds = []string{"std"}
)

const (
	// heartbeatInterval is how often the server sends a frame to a watcher when nothing changes.
	heartbeatInterval = time.Second
	// keptFrames is the minimum number of recent events that the server keeps for watchers that reconnect. It sends the
	// complete list to a watcher that missed more events than are kept.
	keptFrames = 256
	// ioTimeout is how long the server waits for a watcher to send its request or to read a frame before it closes the
	// connection.
	ioTimeout = 5 * time.Second

	// heartbeatFrame, completeFrame and incrementalFrame are the kinds of frames.
	heartbeatFrame, completeFrame, incrementalFrame = 0, 1, 2
	// frameHeaderSize is the size of a frame's header after the length field, and frameRecordSize the size of one
	// engine's record, in bytes.
	frameHeaderSize, frameRecordSize = 9, 27
)

// Engine is an entry of the endpoint list.
type Engine struct {
	ID        dispatch.EngineID
	Address   netip.AddrPort // IPv4
	Zone      int            // index in Zones
	State     dispatch.EndpointState
	StartedMS uint64 // Unix milliseconds
}

// Engines returns n engines, assigned to the zones in turn, at addresses on which no process listens.
func Engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		at := netip.AddrFrom4([4]byte{127, 200, byte(i >> 8), byte(i)})
		list[i] = Engine{ID: dispatch.EngineID(i + 1), Address: netip.AddrPortFrom(at, 1), Zone: i % len(Zones)}
	}
	return list
}

// DiscoveryServer is a test double of the platform's discovery service. It sends the frames that package discovery
// reads: a length, the number of an event, a kind, and records of 27 bytes. It can serve hundreds of watchers, each of
// which resumes after the last event that it has received.
type DiscoveryServer struct {
	Addr string

	listener     net.Listener
	mu           sync.Mutex
	changed      chan struct{} // closed and replaced on each event, and when a connection opens or closes
	number       uint64
	list         map[dispatch.EngineID]Engine
	order        []dispatch.EngineID
	recentFrames [][]byte // of the most recent events
	connections  map[net.Conn]bool
	lateness     time.Duration // see SetLateness

	Accepted  atomic.Int64 // connections accepted so far
	SentBytes atomic.Int64 // payload of all connections
}

// NewDiscoveryServer starts a server whose event 1 is the given complete list. It closes the server at the end of the
// test.
func NewDiscoveryServer(tb testing.TB, engines []Engine) *DiscoveryServer {
	tb.Helper()
	server, err := startDiscoveryServer(engines)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(server.Close)
	return server
}

func startDiscoveryServer(engines []Engine) (*DiscoveryServer, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	server := &DiscoveryServer{
		listener: listener, Addr: listener.Addr().String(), changed: make(chan struct{}),
		list: map[dispatch.EngineID]Engine{}, connections: map[net.Conn]bool{},
	}
	server.publish(completeFrame, engines)
	go server.accept() // returns on Close
	return server, nil
}

// SetLateness makes all that the server sends on later connections arrive late, in order, as on a crowded path.
func (s *DiscoveryServer) SetLateness(lateness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateness = lateness
}

// Close stops the server and closes its connections.
func (s *DiscoveryServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.Close()
	}
}

// Change publishes one event that adds or updates the given engines, and returns the number of the event.
func (s *DiscoveryServer) Change(engines ...Engine) uint64 {
	return s.publish(incrementalFrame, engines)
}

// Replace publishes one event with a complete list, and returns the number of the event.
func (s *DiscoveryServer) Replace(engines []Engine) uint64 { return s.publish(completeFrame, engines) }

// LastEvent returns the number of the last event.
func (s *DiscoveryServer) LastEvent() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.number
}

// publish appends an event with a frame of the given kind, updates the list, and returns the number of the event.
func (s *DiscoveryServer) publish(kind byte, engines []Engine) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	if kind == completeFrame {
		clear(s.list)
		s.order = s.order[:0]
	}
	for _, e := range engines {
		if _, known := s.list[e.ID]; !known {
			s.order = append(s.order, e.ID)
		}
		s.list[e.ID] = e
	}
	if s.recentFrames = append(s.recentFrames, encodeFrame(s.number, kind, engines)); len(s.recentFrames) > 2*keptFrames {
		s.recentFrames = append([][]byte(nil), s.recentFrames[keptFrames:]...)
	}
	s.notify()
	return s.number
}

// notify wakes up all that wait for a change. The caller holds the lock.
func (s *DiscoveryServer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// encodeFrame returns a frame in its encoded form, including the length field.
func encodeFrame(number uint64, kind byte, engines []Engine) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(frameHeaderSize+frameRecordSize*len(engines)))
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

// framesAfter returns the frames that a watcher has not received after event last. If last is 0 or the frames after it
// are not kept any more, these are one frame with the complete list. It also returns the number of the last event, and
// a channel that is closed on the next change.
func (s *DiscoveryServer) framesAfter(last uint64) (frames [][]byte, now uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	behind := s.number - last
	switch {
	case last > s.number || behind == 0:
	case last == 0 || behind > uint64(len(s.recentFrames)):
		list := make([]Engine, len(s.order))
		for i, id := range s.order {
			list[i] = s.list[id]
		}
		frames = [][]byte{encodeFrame(s.number, completeFrame, list)}
	default:
		frames = append(frames, s.recentFrames[len(s.recentFrames)-int(behind):]...)
	}
	return frames, max(s.number, last), s.changed
}

// accept serves each connection in a goroutine, until the listener is closed.
func (s *DiscoveryServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve sends the frames after the event that a watcher requests, and heartbeats, until the connection ends.
func (s *DiscoveryServer) serve(conn net.Conn) {
	defer conn.Close()
	var request [8]byte
	_ = conn.SetReadDeadline(time.Now().Add(ioTimeout))
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	s.Accepted.Add(1)
	s.setConnected(conn, true)
	defer s.setConnected(conn, false)
	closed := make(chan struct{})
	go func() { // returns when the connection ends
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	path := s.newPath(conn)
	defer path.close()
	last := binary.BigEndian.Uint64(request[:])
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		frames, now, changed := s.framesAfter(last)
		for _, frame := range frames {
			if !path.write(frame) {
				return
			}
		}
		last = now
		select {
		case <-changed:
		case <-closed:
			return
		case <-heartbeat.C:
			if !path.write(encodeFrame(last, heartbeatFrame, nil)) {
				return
			}
		}
	}
}

// write sends a frame, and reports false if the watcher does not read it within ioTimeout or the connection is closed.
func (s *DiscoveryServer) write(conn net.Conn, frame []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(ioTimeout))
	n, err := conn.Write(frame)
	s.SentBytes.Add(int64(n))
	return err == nil
}

// setConnected adds or removes a connection.
func (s *DiscoveryServer) setConnected(conn net.Conn, connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if connected {
		s.connections[conn] = true
	} else {
		delete(s.connections, conn)
	}
	s.notify()
}

// AwaitConnections waits until exactly n watchers are connected. It fails the test after WaitTimeout.
func (s *DiscoveryServer) AwaitConnections(tb testing.TB, n int) {
	tb.Helper()
	timeout := time.NewTimer(WaitTimeout)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		have, changed := len(s.connections), s.changed
		s.mu.Unlock()
		if have == n {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			tb.Fatalf("%d watchers are connected, want %d within %v", have, n, WaitTimeout)
		}
	}
}

// KnownEvents returns an endpoint list in the form in which a router's configuration contains it, as event 1. Without
// engines, the configuration contains no events.
func KnownEvents(engines []Engine) json.RawMessage {
	phases := map[dispatch.EndpointState]string{
		dispatch.Live: "active", dispatch.Draining: "leaving",
		dispatch.Removed: "left",
	}
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
		members[i] = member{
			settings.FormatEngineID(e.ID), e.Address.String(), Zones[e.Zone], Kinds[0], e.Zone,
			phases[e.State], 1, e.StartedMS,
		}
	}
	if len(engines) == 0 {
		return json.RawMessage(`{"rev":0,"notices":[]}`)
	}
	text, err := json.Marshal(map[string]any{"rev": 1, "notices": []any{map[string]any{
		"rev":  1,
		"pool": map[string]any{"revision": 1, "complete": true, "members": members},
	}}})
	if err != nil {
		panic(fmt.Sprint("cannot encode the endpoint list as JSON: ", err))
	}
	return text
}
