package incident

// clockSync relates the clocks of all processes to that of a reference process. It uses the events that a process
// shares with the reference or with a process that is synchronized already. Thus a process that ended early and one
// that started late, which share no event, are related through a third.
type clockSync struct {
	processes    []*process
	clocks       []Clock
	synchronized []bool
	events       map[sharedEvent]float64 // times on the reference clock
}

// synchronizeClocks returns the clock of each process. The reference is the process with the most shared events. There
// must be at least one process.
func synchronizeClocks(processes []*process) []Clock {
	sync := &clockSync{
		processes:    processes,
		clocks:       make([]Clock, len(processes)),
		synchronized: make([]bool, len(processes)),
		events:       map[sharedEvent]float64{},
	}
	reference := processWithMostSharedEvents(processes)
	sync.setClock(reference, Clock{
		Measured: true, UncertaintyMS: minUncertaintyMS,
		SharedEvents: len(processes[reference].sharedEvents), ReferenceMS: processes[reference].fromMS,
	})
	for next := sync.nextProcess(); next >= 0; next = sync.nextProcess() {
		sync.setClock(next, estimateClock(processes[next].sharedEvents, sync.events))
	}
	for i := range processes {
		if !sync.synchronized[i] {
			sync.clocks[i] = sync.assumedClock(processes[i])
		}
	}
	return sync.clocks
}

func processWithMostSharedEvents(processes []*process) (index int) {
	for i, process := range processes {
		if len(process.sharedEvents) > len(processes[index].sharedEvents) {
			index = i
		}
	}
	return index
}

// setClock sets the clock of a process and adds its events, converted to the reference clock, to those that are known.
func (s *clockSync) setClock(index int, clock Clock) {
	s.clocks[index], s.synchronized[index] = clock, true
	for event, atMS := range s.processes[index].sharedEvents {
		if _, known := s.events[event]; !known {
			s.events[event] = clock.Correct(atMS)
		}
	}
}

// nextProcess returns the index of the unsynchronized process that shares the most events with the synchronized ones,
// or -1 if none shares any.
func (s *clockSync) nextProcess() int {
	best, most := -1, 0
	for i, process := range s.processes {
		if s.synchronized[i] {
			continue
		}
		shared := 0
		for event := range process.sharedEvents {
			if _, known := s.events[event]; known {
				shared++
			}
		}
		if shared > most {
			best, most = i, shared
		}
	}
	return best
}

// assumedClock returns the clock of a process without shared events. It is that of another process of the same router,
// if there is one: both run on the same machine, but each read the system clock at its own start, so that the
// uncertainty is larger. Otherwise the offset is assumed to be 0.
func (s *clockSync) assumedClock(of *process) Clock {
	for i, other := range s.processes {
		if s.synchronized[i] && other.header.Router == of.header.Router {
			clock := s.clocks[i]
			clock.SharedEvents = 0
			clock.UncertaintyMS += minUncertaintyMS + sameRouterUncertaintyMS
			return clock
		}
	}
	return Clock{UncertaintyMS: unsynchronizedUncertaintyMS, ReferenceMS: of.fromMS}
}
