package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// threadWatch sums up samples of threads. A wait lasts from its first to its last sample.
type threadWatch struct {
	minWait time.Duration // from which on an uninterruptible wait is printed
	out     io.Writer
	samples map[threadState]int
	longest map[threadState]time.Duration
	current map[threadID]threadState
	since   map[threadID]time.Duration // when a thread was first found in its current state
	lastAt  time.Duration              // of the last sample
	taken   int
}

func newThreadWatch(minWait time.Duration, out io.Writer) *threadWatch {
	return &threadWatch{
		minWait: minWait, out: out,
		samples: map[threadState]int{}, longest: map[threadState]time.Duration{},
		current: map[threadID]threadState{}, since: map[threadID]time.Duration{},
	}
}

// add adds a sample, and prints the long waits that ended before it.
func (w *threadWatch) add(at time.Duration, sample map[threadID]threadState) {
	for _, id := range w.changedThreads(sample) {
		w.endState(id)
	}
	for id, state := range sample {
		w.samples[state]++
		if _, known := w.since[id]; !known {
			w.since[id], w.current[id] = at, state
		}
	}
	w.lastAt = at
	w.taken++
}

// changedThreads returns the threads that are no longer in their current state, sorted.
func (w *threadWatch) changedThreads(sample map[threadID]threadState) (changed []threadID) {
	for id, state := range w.current {
		if sample[id] != state {
			changed = append(changed, id)
		}
	}
	slices.SortFunc(changed, func(a, b threadID) int {
		return cmp.Or(cmp.Compare(a.pid, b.pid), cmp.Compare(a.tid, b.tid))
	})
	return changed
}

func (w *threadWatch) endState(id threadID) {
	state, since := w.current[id], w.since[id]
	lasted := w.lastAt - since
	w.longest[state] = max(w.longest[state], lasted)
	if state.state == uninterruptibleSleep && lasted >= w.minWait {
		fmt.Fprintf(w.out, "%7.1f s: process %d, thread %d waited %.1f s in %s\n", since.Seconds(), id.pid, id.tid,
			lasted.Seconds(), state.waitChannel)
	}
	delete(w.current, id)
	delete(w.since, id)
}

// summarize prints the samples by state, the most frequent first. It fails where no thread was found.
func (w *threadWatch) summarize() error {
	table := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "state\twait channel\tsamples\tlongest s")
	states := make([]threadState, 0, len(w.samples))
	for state := range w.samples {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b threadState) int {
		return cmp.Or(
			cmp.Compare(w.samples[b], w.samples[a]),
			strings.Compare(a.waitChannel, b.waitChannel),
			strings.Compare(a.state, b.state),
		)
	})
	for _, state := range states {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\n", state.state, state.waitChannel, w.samples[state],
			w.longest[state].Seconds())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(states) == 0 {
		return fmt.Errorf("%d samples found no such process", w.taken)
	}
	return nil
}
