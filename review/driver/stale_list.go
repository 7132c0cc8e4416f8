package main

import (
	"syscall"
	"time"
)

// playStaleList: an engine drains, and the router is told. Later there is a hot restart, during an outage of discovery.
func playStaleList(rec *recorder, trouble bool) (broken []string, err error) {
	engines, err := startEngines(rec, 3, fixedWork(60*time.Millisecond))
	if err != nil {
		return nil, err
	}
	place, err := newPlace(rec, engines)
	if err != nil {
		return nil, err
	}
	defer place.stop()
	first, err := place.startReady("first")
	if err != nil {
		return nil, err
	}
	callers := startClients(rec, place.listen, 6, "lookup", 5*time.Second, 100*time.Millisecond)
	time.Sleep(3 * time.Second)
	drained := engines[2]
	told := place.notices.publish(drained, stateDraining)
	drained.drain()
	time.Sleep(10 * time.Second)
	if trouble {
		place.notices.down()
	}
	time.Sleep(500 * time.Millisecond)
	_, err = place.startReady("second")
	if err != nil {
		return nil, err
	}
	first.signal(syscall.SIGTERM)
	time.Sleep(4 * time.Second)
	if trouble {
		if err := place.notices.up(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	rec.note("clients: %v", callers.end())
	limit := told.Add(toldLatest + drainGrace + socketSlack)
	return drainBroken(rec, drained, told, limit), nil
}
