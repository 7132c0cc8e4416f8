package main

import (
	"fmt"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
)

const (
	// goneClients is the number of clients, one after another.
	goneClients = 5
	// planTime is how long the engine takes for a ticket, before it runs anything.
	planTime = 600 * time.Millisecond
	// goneAfter is when a client cancels its request.
	goneAfter = 200 * time.Millisecond
	// goneGrace is how long after that an attempt may still begin.
	goneGrace = 100 * time.Millisecond
)

// playGone has clients cancel their requests with KILL QUERY while an engine that speaks Flight SQL prepares the
// tickets. No statement may begin later than goneGrace after that. Without the disruption the clients wait.
func playGone(stage *world) error {
	flights, err := stage.startFlight(arrow.BinaryTypes.String, planTime)
	if err != nil {
		return err
	}
	late, served := 0, 0
	for range goneClients {
		req := request{id: newRequestID(), class: "lookup", budget: 5 * time.Second, estimate: 50 * time.Millisecond}
		gone, err := stage.sendAndLeave(req)
		if err != nil {
			return err
		}
		time.Sleep(2 * planTime)
		if gone > 0 && flights.lastRun() > gone+goneGrace {
			late++
			stage.rec.printf("%s began %.3f s after its client had gone", req.id, (flights.lastRun() - gone).Seconds())
		}
		if gone == 0 {
			served++
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: %d of %d statements began later than %v after their client had gone",
			errBroken, late, goneClients, goneGrace)
	}
	stage.rec.printf("%d served", served)
	return nil
}

// sendAndLeave sends a request and cancels it after goneAfter, by KILL QUERY on a new session. It returns the time of
// that, or 0 without the disruption: then it waits for the answer.
func (w *world) sendAndLeave(req request) (gone time.Duration, err error) {
	session, err := dialClient(w.listen)
	if err != nil {
		return 0, err
	}
	defer session.close()
	if err := session.write(command(req.text())); err != nil {
		return 0, err
	}
	if !trouble() {
		got, err := session.readAnswer()
		w.rec.printf("client: %s: %v", req.id, got)
		return 0, err
	}
	time.Sleep(goneAfter)
	killer, err := dialClient(w.listen)
	if err != nil {
		return 0, err
	}
	defer killer.close()
	if err := killer.write(command(fmt.Sprintf("KILL QUERY %d", session.id))); err != nil {
		return 0, err
	}
	got, err := killer.readAnswer()
	gone = w.rec.since()
	w.rec.printf("client: %s: KILL QUERY %d: %v", req.id, session.id, got)
	return gone, err
}
