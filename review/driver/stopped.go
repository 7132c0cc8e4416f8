package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// stoppedCallers clients have a query at the router when it goes on, stoppedLeavers of them have given up by then.
	// Clients hold at most a third of the 1,024 descriptors.
	stoppedCallers, stoppedLeavers = 300, 100
	// stoppedStatement is the length of a statement. All of them together are longer than what the router takes in from
	// its sockets before it has handled it.
	stoppedStatement = 16_000
	// stopTime is how long the process stands still after the last notice.
	stopTime = 9 * time.Second
)

// playStopped: the router's process is stopped for some seconds and goes on. Meanwhile clients send queries, some of
// them give up, and an engine begins to drain.
func playStopped(rec *recorder, trouble bool) (broken []string, err error) {
	engines, err := startEngines(rec, 3, fixedWork(60*time.Millisecond))
	if err != nil {
		return nil, err
	}
	place, err := newPlace(rec, engines)
	if err != nil {
		return nil, err
	}
	defer place.stop()
	only, err := place.startReady("only")
	if err != nil {
		return nil, err
	}
	warm := startClients(rec, place.listen, 4, "lookup", 5*time.Second, 50*time.Millisecond)
	time.Sleep(2 * time.Second)
	warm.end()
	callers := &leavingClients{rec: rec, listen: place.listen, gone: map[string]time.Time{}}
	if err := callers.open(stoppedCallers); err != nil {
		return nil, err
	}
	if trouble {
		only.signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	callers.send(stoppedLeavers)
	time.Sleep(300 * time.Millisecond)
	drained := engines[2]
	told := place.notices.publish(drained, stateDraining)
	drained.drain()
	time.Sleep(stopTime)
	if trouble {
		only.signal(syscall.SIGCONT)
	}
	callers.done.Wait()
	time.Sleep(2 * time.Second)
	broken = callers.broken()
	return append(broken, drainBroken(rec, drained, told, told.Add(toldLatest+drainGrace+socketSlack))...), nil
}

// leavingClients are clients with one query each. Some of them give up.
type leavingClients struct {
	rec      *recorder
	listen   string
	sessions []*session
	done     sync.WaitGroup

	mu   sync.Mutex
	gone map[string]time.Time // when a client closed its session, by the id of its query
}

func (c *leavingClients) open(n int) error {
	for range n {
		opened, err := openSession(c.listen, time.Second)
		if err != nil {
			return err
		}
		c.sessions = append(c.sessions, opened)
	}
	return nil
}

// send sends a report on each session. The first clients give up after 0.8 s: they send KILL QUERY on a new session, and
// close their own half a second later, as the protocol page says.
func (c *leavingClients) send(leavers int) {
	for i, opened := range c.sessions {
		id := newID()
		if err := opened.send(longQueryText("report", id, 20*time.Second, i, stoppedStatement)); err != nil {
			c.rec.note("client: report %s not sent: %v", id, err)
			continue
		}
		c.rec.note("client: report %s sent", id)
		if i < leavers {
			c.done.Go(func() { c.giveUp(opened, id) })
			continue
		}
		c.done.Go(func() {
			result := opened.receive(21 * time.Second)
			c.rec.note("client: report %s: %s %s", id, result.kind, result.text)
			opened.close()
		})
	}
}

func (c *leavingClients) giveUp(opened *session, id string) {
	time.Sleep(800 * time.Millisecond)
	c.rec.note("client: report %s: gives up", id)
	c.done.Go(func() { killQuery(c.rec, c.listen, opened.id) })
	time.Sleep(500 * time.Millisecond)
	opened.close()
	at := time.Now()
	c.rec.noteAt(at, "client: report %s: has closed its session", id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[id] = at
}

func killQuery(rec *recorder, listen string, id uint32) {
	opened, err := openSession(listen, 15*time.Second)
	if err != nil {
		rec.note("client: KILL QUERY %d: %v", id, err)
		return
	}
	defer opened.close()
	if err := opened.send(fmt.Sprintf("KILL QUERY %d", id)); err == nil {
		result := opened.receive(15 * time.Second)
		rec.note("client: KILL QUERY %d: %s %s", id, result.kind, result.text)
	}
}

// broken returns a line for the attempts that began after their clients had closed their sessions.
func (c *leavingClients) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, arrived := range c.rec.arrived() {
		if at, left := c.gone[arrived.id]; left && arrived.at.After(at.Add(goneGrace+socketSlack)) {
			late++
			c.rec.note("%s %s reached %s %.3f s after its client had closed its session", arrived.class, arrived.id,
				arrived.engine, arrived.at.Sub(at).Seconds())
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("lost: %d attempts began over %v after their clients had gone", late, goneGrace)}
}
