package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// States of an engine in the board's records.
const (
	stateReady, stateDraining, stateGone byte = 0, 1, 2
)

// Kinds of the board's frames, and the sizes of their parts.
const (
	frameNothing, frameChanges byte = 0, 2
	frameHead, recordSize           = 9, 27
	weightOne                       = 1000
	boardBeat                       = time.Second
)

// board is a stand-in for the notice board. Event 1 is the list in the routers' configuration; each later event is one
// changed engine.
type board struct {
	rec  *recorder
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	frames   [][]byte // of event 2 and later
	changed  chan struct{}
}

func startBoard(rec *recorder) (*board, error) {
	started := &board{rec: rec, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	return started, started.listen("127.0.0.1:0")
}

func (b *board) listen(addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.addr = listener, listener.Addr().String()
	b.mu.Unlock()
	go b.accept(listener)
	return nil
}

// knownEvents returns the field known of a configuration: event 1, the whole list.
func knownEvents(engines []*engine) json.RawMessage {
	members := []map[string]any{}
	for _, listed := range engines {
		members = append(members, map[string]any{
			"id": listed.name(), "host_port": listed.addr.String(), "locality": "hall-a", "flavor": "std-8",
			"cell": 0, "phase": "active", "size": 1, "up_since_ms": 0,
		})
	}
	text, err := json.Marshal(map[string]any{"rev": 1, "notices": []any{map[string]any{
		"rev": 1, "pool": map[string]any{"revision": 1, "complete": true, "members": members},
	}}})
	if err != nil {
		panic(err)
	}
	return text
}

// publish adds an event: the engine has the state from now on. It returns the time of the event.
func (b *board) publish(changed *engine, state byte) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := uint64(len(b.frames) + 2)
	record := binary.BigEndian.AppendUint32(nil, changed.id)
	record = append(record, changed.addr.IP.To4()...)
	record = binary.BigEndian.AppendUint16(record, uint16(changed.addr.Port))
	record = append(record, state, 0, 0, 0, 0)
	record = binary.BigEndian.AppendUint32(record, weightOne)
	record = binary.BigEndian.AppendUint64(record, 0)
	b.frames = append(b.frames, frame(number, frameChanges, record))
	close(b.changed)
	b.changed = make(chan struct{})
	b.rec.note("board: event %d: %s has state %d", number, changed.name(), state)
	return time.Now()
}

func frame(number uint64, kind byte, payload []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(frameHead+len(payload)))
	out = append(binary.BigEndian.AppendUint64(out, number), kind)
	return append(out, payload...)
}

// down ends the board: connections are closed and new ones refused, until up.
func (b *board) down() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.listener.Close()
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.rec.note("board: down")
}

// up lets the board listen again at its address.
func (b *board) up() error {
	b.rec.note("board: up")
	return b.listen(b.addr)
}

func (b *board) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *board) serve(conn net.Conn) {
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.conns, conn)
		_ = conn.Close()
	}()
	var request [8]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(request[:])
	b.rec.note("board: a watcher has connected, with event %d", last)
	beat := time.NewTicker(boardBeat)
	defer beat.Stop()
	for {
		b.mu.Lock()
		next, changed := b.frames[min(max(int(last)-1, 0), len(b.frames)):], b.changed
		b.mu.Unlock()
		for _, text := range next {
			if _, err := conn.Write(text); err != nil {
				return
			}
			last++
			b.rec.note("board: event %d has been written to a watcher", last)
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := conn.Write(frame(last, frameNothing, nil)); err != nil {
				return
			}
		}
	}
}

func (b *board) String() string { return fmt.Sprintf("board at %s", b.addr) }
