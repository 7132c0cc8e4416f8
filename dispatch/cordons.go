package dispatch

import "slices"

// maxKnownEngines is the number of engines remembered. It covers the engines of several days.
const maxKnownEngines = 8192

// cordonList holds the engines most recently named by an endpoint list, and all engines that are cordoned.
type cordonList struct {
	cordoned map[EngineID]bool // for each remembered engine, whether it is cordoned
	order    []EngineID        // in the order in which they were first named
}

func newCordonList() cordonList { return cordonList{cordoned: map[EngineID]bool{}} }

func (l *cordonList) knows(id EngineID) bool {
	_, known := l.cordoned[id]
	return known
}

func (l *cordonList) isCordoned(id EngineID) bool { return l.cordoned[id] }

// add remembers an engine. If the list is full, the oldest engine that is not cordoned is dropped.
func (l *cordonList) add(id EngineID) {
	if l.knows(id) {
		return
	}
	if len(l.order) >= maxKnownEngines {
		l.dropOldest()
	}
	l.cordoned[id] = false
	l.order = append(l.order, id)
}

func (l *cordonList) dropOldest() {
	oldest := slices.IndexFunc(l.order, func(id EngineID) bool { return !l.cordoned[id] })
	if oldest >= 0 {
		delete(l.cordoned, l.order[oldest])
		l.order = slices.Delete(l.order, oldest, oldest+1)
	}
}

// set cordons or uncordons a known engine. It returns false if nothing changed.
func (l *cordonList) set(id EngineID, cordoned bool) bool {
	if !l.knows(id) || l.isCordoned(id) == cordoned {
		return false
	}
	l.cordoned[id] = cordoned
	return true
}

// all returns the remembered engines and the cordoned engines among them.
func (l *cordonList) all() (known, cordoned []EngineID) {
	for _, id := range l.order {
		if l.cordoned[id] {
			cordoned = append(cordoned, id)
		}
	}
	return slices.Clone(l.order), cordoned
}
