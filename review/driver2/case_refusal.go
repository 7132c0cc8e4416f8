package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// manySenders is the number of clients that send many look-ups at once, and manyCommands how many each sends.
	manySenders, manyCommands = 310, 41
	// loadSenders is the number of clients that send a load and then look-ups at once.
	loadSenders = 8
	// loadWork is the work of a load, and lookupWork that of a look-up.
	loadWork, lookupWork = 8 * time.Second, 4 * time.Second
	// sendGap is the time between two clients that send many look-ups.
	sendGap = 4 * time.Millisecond
	// sentPause is the time between the last commands of the others and the look-ups behind the loads.
	sentPause = 500 * time.Millisecond
)

// playRefusal has clients send many commands at once while loads run. A load that has begun must not be refused: its
// client sends a refused load again. Without the disruption the clients send one command at a time.
func playRefusal(stage *world) error {
	err := stage.addEngines(10, func(q query) time.Duration {
		if q.class == "load" {
			return loadWork
		}
		return lookupWork
	})
	if err != nil {
		return err
	}
	if err := stage.startBoard(0); err != nil {
		return err
	}
	if err := stage.startRouter(""); err != nil {
		return err
	}
	var clients sync.WaitGroup
	refused, sent := &refusals{}, make(chan struct{})
	for i := range loadSenders {
		clients.Go(func() { stage.sendLoad(i, sent, refused) })
	}
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Add(manySenders)
	for i := range manySenders {
		time.Sleep(sendGap)
		clients.Go(func() { stage.sendMany(loadSenders+i, senders.Done, stop) })
	}
	senders.Wait()
	close(sent)
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	return stage.judgeRefusals(refused)
}

// refusals holds the loads that were refused, each with the id under which its client sent it again.
type refusals struct {
	mu    sync.Mutex
	loads map[string]string
}

func (r *refusals) add(id, again string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loads == nil {
		r.loads = map[string]string{}
	}
	r.loads[id] = again
}

// sendLoad sends a load and, once the others have sent their commands, look-ups behind it. A refused load is sent once
// more.
func (w *world) sendLoad(number int, sent <-chan struct{}, refused *refusals) {
	load := request{id: newRequestID(), class: "load", budget: 25 * time.Second, estimate: loadWork, group: number}
	session, err := dialClient(w.listen)
	if err != nil {
		w.rec.printf("load client %d: %v", number, err)
		return
	}
	defer session.close()
	w.rec.printf("load client %d: sends load %s", number, load.id)
	if err := session.write(command(load.text())); err != nil {
		return
	}
	if trouble() {
		<-sent
		time.Sleep(sentPause)
		_ = session.write(manyLookups(number))
		w.rec.printf("load client %d: sent %d look-ups at once", number, manyCommands)
	}
	got, err := session.readAnswer()
	if err != nil {
		w.rec.printf("load client %d: load %s got no answer: %v", number, load.id, err)
		return
	}
	w.rec.printf("load client %d: load %s: %v", number, load.id, got)
	if !got.refused() {
		return
	}
	again := load
	again.id, again.retry = newRequestID(), true
	refused.add(load.id, again.id)
	time.Sleep(time.Second)
	w.rec.printf("load client %d: sends the refused load again as %s", number, again.id)
	w.rec.printf("load client %d: load %s: %s", number, again.id, w.ask(again))
}

// manyLookups returns the packets of manyCommands look-ups of a group of tables.
func manyLookups(group int) (all []byte) {
	for range manyCommands {
		all = append(all, command(newLookup(group).text())...)
	}
	return all
}

func newLookup(group int) request {
	return request{
		id: newRequestID(), class: "lookup", budget: 5 * time.Second, estimate: lookupWork, padding: pipelinedPadding,
		group: group,
	}
}

// sendMany sends many look-ups at once on a session, and keeps it until stop is closed. Without the disruption it sends
// one. It calls done when it has sent.
func (w *world) sendMany(group int, done func(), stop <-chan struct{}) {
	session, err := dialClient(w.listen)
	if err != nil {
		done()
		w.rec.printf("client: %v", err)
		return
	}
	defer session.close()
	all := command(newLookup(group).text())
	if trouble() {
		all = manyLookups(group)
	}
	err = session.write(all)
	done()
	if err != nil {
		w.rec.printf("client: %v", err)
		return
	}
	if !trouble() {
		got, err := session.readAnswer()
		w.rec.printf("client: %v %v", got, err)
		return
	}
	<-stop
}

// judgeRefusals returns an error that wraps errBroken if an engine had begun a refused load.
func (w *world) judgeRefusals(refused *refusals) error {
	begun := map[string]bool{}
	for _, e := range w.engines {
		for _, q := range e.beginnings() {
			begun[q.id] = true
		}
	}
	ran, twice := 0, 0
	for id, again := range refused.loads {
		if begun[id] {
			ran++
			w.rec.printf("load %s was refused and had begun; sent again as %s, which began: %v", id, again, begun[again])
		}
		if begun[id] && begun[again] {
			twice++
		}
	}
	if ran > 0 {
		return fmt.Errorf("%w: %d loads were refused though they had begun, %d of them ran twice", errBroken, ran, twice)
	}
	return nil
}
