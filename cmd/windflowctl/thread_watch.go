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

// threadWatch summarizes samples of threads. The length of a wait is the time from the first to the last sample in
// which the thread was found in it.
type threadWatch struct {
	minWait time.Duration // shortest uninterruptible wait that is printed
	out     io.Writer
	samples map[threadState]int           // number of samples in each state
	longest map[threadState]time.Duration // longest time in each state
	current map[threadID]threadState
	since   map[threadID]time.Duration // first sample in the current state
	lastAt  time.Duration              // time of the last sample
	taken   int                        // number of samples added
}

func newThreadWatch(minWait time.Duration, out io.Writer) *threadWatch {
	return &threadWatch{
		minWait: minWait, out: out,
		samples: map[threadState]int{}, longest: map[threadState]time.Duration{},
		current: map[threadID]threadState{}, since: map[threadID]time.Duration{},
	}
}

// add adds the sample taken at the time at, counted from the start of the watch. It prints the long uninterruptible
// waits that ended before it.
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

// changedThreads returns the threads that the sample shows in another state than the current one, or no longer, sorted
// by process and thread.
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

// endState ends the current state of a thread, and prints it if it is a long uninterruptible wait.
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

// summarize prints the number of samples and the longest time of each state, the most frequent first. It fails if no
// sample found a thread.
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
		return fmt.Errorf("%d samples found no thread: no such process, or no permission to read /proc", w.taken)
	}
	return nil
}
