package fleettest

import (
	"net"
	"time"
)

// maxFramesOnPath is the number of frames that may be on their way on a path.
const maxFramesOnPath = 1024

// path carries frames from a discovery server to a watcher, each of them some time after it was written.
type path struct {
	server   *DiscoveryServer
	conn     net.Conn
	lateness time.Duration
	frames   chan lateFrame // nil without lateness
}

// lateFrame is a frame on its way.
type lateFrame struct {
	arrival time.Time
	frame   []byte
}

// newPath returns the path of a connection, with the server's present lateness.
func (s *DiscoveryServer) newPath(conn net.Conn) *path {
	s.mu.Lock()
	lateness := s.lateness
	s.mu.Unlock()
	p := &path{server: s, conn: conn, lateness: lateness}
	if lateness > 0 {
		p.frames = make(chan lateFrame, maxFramesOnPath)
		go p.carry() // returns after close
	}
	return p
}

// write sends a frame. It returns false if the connection has ended.
func (p *path) write(frame []byte) bool {
	if p.frames == nil {
		return p.server.write(p.conn, frame)
	}
	p.frames <- lateFrame{time.Now().Add(p.lateness), frame}
	return true
}

// carry delivers the frames when they arrive.
func (p *path) carry() {
	for next := range p.frames {
		time.Sleep(time.Until(next.arrival))
		if !p.server.write(p.conn, next.frame) {
			_ = p.conn.Close()
		}
	}
}

func (p *path) close() {
	if p.frames != nil {
		close(p.frames)
	}
}
