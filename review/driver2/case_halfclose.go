package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// halfCloseLoads is the number of clients that send a load.
const halfCloseLoads = 4

// playHalfClose has clients end the writing side of their connection while their loads run, and go on reading. Each load
// has to get its one final answer. Without the disruption the connections stay open in both directions.
func playHalfClose(stage *world) error {
	if err := stage.start(func(query) time.Duration { return time.Second }); err != nil {
		return err
	}
	type result struct {
		answered bool
		err      error
	}
	results := make(chan result, halfCloseLoads)
	for i := range halfCloseLoads {
		go func() {
			answered, err := stage.sendHalfClosed(i)
			results <- result{answered, err}
		}()
	}
	lost := 0
	for range halfCloseLoads {
		got := <-results
		if got.err != nil {
			return got.err
		}
		if !got.answered {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d loads got no answer after a half-close", errBroken, lost, halfCloseLoads)
	}
	return nil
}

// sendHalfClosed sends a load, ends the writing side while it runs, and reports whether an answer comes.
func (w *world) sendHalfClosed(group int) (answered bool, err error) {
	session, err := dialClient(w.listen)
	if err != nil {
		return false, err
	}
	defer session.close()
	load := request{
		id: newRequestID(), class: "load", budget: 25 * time.Second, estimate: time.Second, group: group,
	}
	w.rec.printf("client: sends load %s", load.id)
	if err := session.write(command(load.text())); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble() {
		w.rec.printf("client: %s: half-close", load.id)
		if err := session.conn.(*net.TCPConn).CloseWrite(); err != nil {
			return false, err
		}
	}
	got, err := session.readAnswer()
	w.rec.printf("client: %s: %v, %v", load.id, got, err)
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	return err == nil, err
}
