package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Kinds of frames, and states of an engine in a record.
const (
	frameNothing, frameComplete, frameChanges = 0, 1, 2
	stateReady, stateDraining                 = 0, 1
)

// boardRecord is an engine in a frame.
type boardRecord struct {
	id    uint32
	port  int
	state byte
}

// board is a stand-in for the notice board, behind a path that delays what it sends.
type board struct {
	rec     *record
	lis     net.Listener
	address string
	delay   time.Duration // of all that it sends

	mu      sync.Mutex
	frames  [][]byte      // of the events, from 1
	changed chan struct{} // closed and replaced at each event
	conns   map[net.Conn]bool
}

func newBoard(rec *record, delay time.Duration) (*board, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{
		rec: rec, lis: lis, address: lis.Addr().String(), delay: delay,
		changed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go b.accept()
	return b, nil
}

func (b *board) close() {
	_ = b.lis.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// publish adds an event with the records.
func (b *board) publish(kind byte, records ...boardRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := uint64(len(b.frames) + 1)
	b.frames = append(b.frames, encodeFrame(number, kind, records))
	close(b.changed)
	b.changed = make(chan struct{})
	for _, r := range records {
		b.rec.printf("board: event %d: s-%08x at port %d, state %d", number, r.id, r.port, r.state)
	}
}

func encodeFrame(number uint64, kind byte, records []boardRecord) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(records)))
	frame = append(binary.BigEndian.AppendUint64(frame, number), kind)
	for _, r := range records {
		frame = binary.BigEndian.AppendUint32(frame, r.id)
		frame = append(frame, 127, 0, 0, 1)
		frame = binary.BigEndian.AppendUint16(frame, uint16(r.port))
		frame = append(frame, r.state, 0, 0, 0, 0) // zone, kind, cell
		frame = binary.BigEndian.AppendUint32(frame, 1000)
		frame = binary.BigEndian.AppendUint64(frame, 0)
	}
	return frame
}

func (b *board) accept() {
	for {
		conn, err := b.lis.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// delayed is what the board has sent, and when it arrives.
type delayed struct {
	at    time.Time
	bytes []byte
}

// serve sends a watcher the events after its last one, and an empty frame each second.
func (b *board) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	var request [8]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(request[:])
	came := time.Now()
	b.rec.printf("board: a watcher has come, last event %d", last)
	left, sent := make(chan struct{}), make(chan delayed, 1000)
	go func() {
		_, _ = conn.Read(make([]byte, 1)) // a watcher sends nothing more
		close(left)
	}()
	go carry(conn, sent)
	defer close(sent)
	for {
		frames, now, changed := b.after(last)
		last = now
		sent <- delayed{time.Now().Add(b.delay), frames}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-left:
			b.rec.printf("board: the watcher has left after %.3f s", time.Since(came).Seconds())
			return
		}
	}
}

// after returns the frames of the events after the last one, or an empty frame if there are none, the number of the
// newest event, and a channel that is closed at the next.
func (b *board) after(last uint64) (frames []byte, now uint64, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, frame := range b.frames[min(last, uint64(len(b.frames))):] {
		frames = append(frames, frame...)
	}
	now = uint64(len(b.frames))
	if frames == nil {
		frames = encodeFrame(now, frameNothing, nil)
	}
	return frames, now, b.changed
}

// carry writes what was sent to the connection when it arrives.
func carry(conn net.Conn, sent <-chan delayed) {
	for next := range sent {
		time.Sleep(time.Until(next.at))
		_, _ = conn.Write(next.bytes) // fails once the watcher has left
	}
}
