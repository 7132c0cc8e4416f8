package main

import (
	"fmt"
	"time"
)

const (
	pipelinedCommands = 48
	// pipelinedPadding is the length of the list in each statement: a few hundred values.
	pipelinedPadding = 3000
)

// playPipeline has one client send a number of look-ups at once on its session. Each of them has to get one final
// answer. Without the disruption the client sends one at a time.
func playPipeline(stage *world) error {
	err := stage.start(func(query) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return err
	}
	session, err := dialClient(stage.listen)
	if err != nil {
		return err
	}
	defer session.close()
	requests := make([]request, pipelinedCommands)
	for i := range requests {
		requests[i] = request{
			id: newRequestID(), class: "lookup", budget: 5 * time.Second, estimate: 20 * time.Millisecond,
			padding: pipelinedPadding,
		}
	}
	if trouble() {
		var all []byte
		for _, req := range requests {
			all = append(all, command(req.text())...)
		}
		if err := session.write(all); err != nil {
			return err
		}
		stage.rec.printf("client: sent %d look-ups at once, %d bytes", len(requests), len(all))
	}
	lost := 0
	for i, req := range requests {
		if !trouble() {
			if err := session.write(command(req.text())); err != nil {
				return err
			}
			stage.rec.printf("client: sent %s", req.id)
		}
		got, err := session.readAnswer()
		if err != nil {
			lost = len(requests) - i
			stage.rec.printf("client: no answer to %s and the %d after it: %v", req.id, lost-1, err)
			break
		}
		stage.rec.printf("client: %s: %v", req.id, got)
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d requests that the router had taken got no answer", errBroken, lost, len(requests))
	}
	return nil
}

// start starts two engines, the board and the router.
func (w *world) start(work func(query) time.Duration) error {
	if err := w.addEngines(2, work); err != nil {
		return err
	}
	if err := w.startBoard(0); err != nil {
		return err
	}
	return w.startRouter("")
}
