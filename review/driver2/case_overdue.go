package main

import (
	"fmt"
	"time"
)

const (
	overdueBudget = 5 * time.Second
	// overdueSlack is how long after its time a request may still be answered; later it is lost.
	overdueSlack = 500 * time.Millisecond
	// overdueWork is the work of a heavy look-up: 28 times 210 ms.
	overdueWork = 5900 * time.Millisecond
	// overduePause is the time between the client's first two commands and its third.
	overduePause = 3 * time.Second
)

// playOverdue has clients send two heavy look-ups at once on a session, and a third 3 s later. Each look-up has to be
// answered at its deadline. Without the disruption, each is sent after the answer to the one before.
func playOverdue(stage *world) error {
	if err := stage.start(func(query) time.Duration { return overdueWork }); err != nil {
		return err
	}
	const clients = 4
	results := make(chan error, clients)
	for i := range clients {
		go func() { results <- stage.playOverdueClient(i) }()
	}
	var broken error
	for range clients {
		if err := <-results; err != nil {
			broken = err
		}
	}
	return broken
}

// playOverdueClient plays one client and returns an error that wraps errBroken if an answer was overdue.
func (w *world) playOverdueClient(number int) error {
	session, err := dialClient(w.listen)
	if err != nil {
		return err
	}
	defer session.close()
	requests := make([]request, 3)
	for i := range requests {
		requests[i] = request{id: newRequestID(), class: "lookup", budget: overdueBudget, estimate: overdueWork}
	}
	sent := make([]time.Time, len(requests))
	send := func(which ...int) error {
		var all []byte
		for _, i := range which {
			all = append(all, command(requests[i].text())...)
			sent[i] = time.Now()
			w.rec.printf("client %d: sends %s, budget %v", number, requests[i].id, overdueBudget)
		}
		return session.write(all)
	}
	if trouble() {
		if err := send(0, 1); err != nil {
			return err
		}
		time.Sleep(overduePause)
		if err := send(2); err != nil {
			return err
		}
	}
	var broken error
	for i, req := range requests {
		if !trouble() {
			if err := send(i); err != nil {
				return err
			}
		}
		got, err := session.readAnswer()
		took := time.Since(sent[i])
		if err != nil {
			return fmt.Errorf("%w: %s got no answer: %w", errBroken, req.id, err)
		}
		w.rec.printf("client %d: %s after %.3f s: %v", number, req.id, took.Seconds(), got)
		if took > overdueBudget+overdueSlack {
			broken = fmt.Errorf("%w: %s was answered %.3f s after it was sent, its budget was %v",
				errBroken, req.id, took.Seconds(), overdueBudget)
		}
	}
	return broken
}
