package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// boardDelay is how late all arrives that the board sends.
	boardDelay = 3 * time.Second
	// drainAfter is when the engine begins to drain, after the router is ready.
	drainAfter = 5 * time.Second
	// toldAfter is when an event counts as told at the latest, and drainGrace how long the router may still send then:
	// drain-grace-ns and 50 ms.
	toldAfter, drainGrace = 7 * time.Second, 1050 * time.Millisecond
	// sendFor is how long clients send after that.
	sendFor = 6 * time.Second
	// boardGap is the time between two look-ups.
	boardGap = 100 * time.Millisecond
)

// playBoard has an engine drain while all that the board sends is late. Once the event counts as told, the
// engine must get no new work. Without the disruption nothing is late.
func playBoard(stage *world) error {
	delay := boardDelay
	if !trouble() {
		delay = 0
	}
	if err := stage.addEngines(4, func(query) time.Duration { return 50 * time.Millisecond }); err != nil {
		return err
	}
	if err := stage.startBoard(delay); err != nil {
		return err
	}
	if err := stage.startRouter(""); err != nil {
		return err
	}
	var clients sync.WaitGroup
	defer clients.Wait()
	stop := make(chan struct{})
	clients.Go(func() { stage.sendLookups(&clients, stop) })
	time.Sleep(drainAfter)
	drains := stage.engines[0]
	drains.draining.Store(true)
	stage.board.publish(frameChanges, boardRecord{id: drains.id, port: drains.port, state: stateDraining})
	bound := stage.rec.since() + toldAfter + drainGrace
	time.Sleep(toldAfter + drainGrace + sendFor)
	close(stop)
	late := 0
	for _, q := range drains.arrivals() {
		if q.at > bound {
			late++
		}
	}
	stage.rec.printf("%d statements came to s-%08x after %.3f", late, drains.id, bound.Seconds())
	if late > 0 {
		return fmt.Errorf("%w: %d statements were sent to an engine that drains, later than %v after it counted as told",
			errBroken, late, drainGrace)
	}
	return nil
}

// sendLookups sends a look-up on a new session each boardGap, until stop is closed.
func (w *world) sendLookups(clients *sync.WaitGroup, stop <-chan struct{}) {
	for group := 0; ; group++ {
		select {
		case <-stop:
			return
		case <-time.After(boardGap):
		}
		clients.Go(func() {
			req := request{
				id: newRequestID(), class: "lookup", budget: 5 * time.Second, estimate: 50 * time.Millisecond, group: group,
			}
			w.rec.printf("client: %s: %s", req.id, w.ask(req))
		})
	}
}

// ask sends a request on a new session and returns its answer as text.
func (w *world) ask(req request) string {
	got, err := w.tryAsk(req)
	if err != nil {
		return err.Error()
	}
	return got.String()
}

// tryAsk sends a request on a new session and returns its answer, or an error if there is none.
func (w *world) tryAsk(req request) (answer, error) {
	session, err := dialClient(w.listen)
	if err != nil {
		return answer{}, err
	}
	defer session.close()
	if err := session.write(command(req.text())); err != nil {
		return answer{}, err
	}
	return session.readAnswer()
}
