package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// clients send queries one at a time, each on a session of its own, until they are stopped.
type clients struct {
	rec    *recorder
	listen string
	stop   chan struct{}
	done   sync.WaitGroup

	mu      sync.Mutex
	answers map[string]int // by kind
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// startClients starts n clients, which send a query of the class and wait for pause after its answer.
func startClients(rec *recorder, listen string, n int, class string, budget, pause time.Duration) *clients {
	started := &clients{rec: rec, listen: listen, stop: make(chan struct{}), answers: map[string]int{}}
	for i := range n {
		started.done.Go(func() { started.serve(class, budget, pause, i) })
	}
	return started
}

func (c *clients) serve(class string, budget, pause time.Duration, group int) {
	var open *session
	defer func() {
		if open != nil {
			open.close()
		}
	}()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		if open == nil {
			var err error
			if open, err = openSession(c.listen, time.Second); err != nil {
				c.rec.note("client: no session: %v", err)
				open = nil
				continue
			}
		}
		id := newID()
		result := answer{kind: answerNone, text: "not sent"}
		if err := open.send(queryText(class, id, budget, group)); err == nil {
			result = open.receive(budget + time.Second)
		}
		c.rec.note("client: %s %s: %s %s", class, id, result.kind, result.text)
		c.mu.Lock()
		c.answers[result.kind]++
		c.mu.Unlock()
		if result.kind == answerNone {
			open.close()
			open = nil
		}
	}
}

// end stops the clients and returns how many answers of each kind they got.
func (c *clients) end() map[string]int {
	close(c.stop)
	c.done.Wait()
	return c.answers
}
