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

// board is a stand-in for the notice board.
type board struct {
	rec        *record
	lis        net.Listener
	address    string
	firstFrame time.Duration // time between the connection of a watcher and its first frame

	mu      sync.Mutex
	frames  [][]byte      // of the events, from 1
	changed chan struct{} // closed and replaced at each event
	conns   map[net.Conn]bool
}

func newBoard(rec *record, firstFrame time.Duration) (*board, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{
		rec: rec, lis: lis, address: lis.Addr().String(), firstFrame: firstFrame,
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
	b.rec.printf("board: a watcher has come, last event %d", last)
	if !b.pause(conn) {
		b.rec.printf("board: the watcher has left before its first frame")
		return
	}
	for {
		b.mu.Lock()
		var pending []byte
		for ; last < uint64(len(b.frames)); last++ {
			pending = append(pending, b.frames[last]...)
		}
		changed := b.changed
		b.mu.Unlock()
		if pending == nil {
			pending = encodeFrame(last, frameNothing, nil)
		}
		if _, err := conn.Write(pending); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// pause waits for firstFrame, and reports whether the watcher is still there afterwards.
func (b *board) pause(conn net.Conn) bool {
	if b.firstFrame <= 0 {
		return true
	}
	_ = conn.SetReadDeadline(time.Now().Add(b.firstFrame))
	_, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error) //nolint:errorlint // a read of a connection returns the error itself
	return ok && timeout.Timeout()
}
