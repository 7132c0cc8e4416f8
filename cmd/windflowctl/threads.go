package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// threadsCommand watches where the threads of routers wait in the kernel. It is for a process that stands still: a log says
// that it did, this says for what.
func threadsCommand() *cobra.Command {
	var name string
	var every, lasting, least time.Duration
	var pids []int
	cmd := &cobra.Command{
		Use:   "threads",
		Short: "Watch what threads of running routers wait for in the kernel",
		Long: "Samples the state and the wait channel of each thread, from /proc. A wait that nothing interrupts, in which a thread is\n" +
			"found for --least or more, is printed once it ends; at the end come the samples by wait channel. It needs the right to\n" +
			"read them, mostly root's.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if every <= 0 || lasting < every {
				return fmt.Errorf("--every: %v is not between 0 and --for (%v)", every, lasting)
			}
			w := newWatch(least)
			start := time.Now()
			for next := start; time.Since(start) < lasting; next = next.Add(every) {
				time.Sleep(time.Until(next))
				w.take(time.Since(start), sample("/proc", name, pids), c.OutOrStdout())
			}
			w.take(time.Since(start), nil, c.OutOrStdout())
			return w.report(c.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&name, "name", "windflow", "`name` of the processes to watch, those that start later included")
	cmd.Flags().IntSliceVar(&pids, "pid", nil, "`process` to watch in place of those of a name")
	cmd.Flags().DurationVar(&every, "every", 100*time.Millisecond, "`time` between two samples")
	cmd.Flags().DurationVar(&lasting, "for", time.Minute, "`time` to watch")
	cmd.Flags().DurationVar(&least, "least", 300*time.Millisecond, "`time` from which an uninterruptible wait is printed")
	return cmd
}

// where is what a thread was found at.
type where struct {
	state   string // as /proc has it: R running, S sleeping, D in a wait that nothing interrupts, T stopped
	channel string // the kernel's function that it waits in; 0 while it runs
}

type thread struct{ pid, tid int }

// sample reads where the threads of the processes are. What ends meanwhile is left out.
func sample(proc, name string, pids []int) map[thread]where {
	found := map[thread]where{}
	if len(pids) == 0 {
		comms, _ := filepath.Glob(filepath.Join(proc, "[0-9]*", "comm"))
		for _, path := range comms {
			text, err := os.ReadFile(path)
			if pid, bad := strconv.Atoi(filepath.Base(filepath.Dir(path))); err == nil && bad == nil && strings.TrimSpace(string(text)) == name {
				pids = append(pids, pid)
			}
		}
	}
	for _, pid := range pids {
		tasks, _ := os.ReadDir(filepath.Join(proc, strconv.Itoa(pid), "task"))
		for _, task := range tasks {
			tid, err := strconv.Atoi(task.Name())
			dir := filepath.Join(proc, strconv.Itoa(pid), "task", task.Name())
			stat, bad := os.ReadFile(filepath.Join(dir, "stat"))
			channel, none := os.ReadFile(filepath.Join(dir, "wchan"))
			if err != nil || bad != nil || none != nil {
				continue
			}
			// The name stands in brackets and may hold any character; the state follows the last one.
			if _, rest, ok := strings.Cut(string(stat[max(strings.LastIndexByte(string(stat), ')'), 0):]), ") "); ok {
				found[thread{pid, tid}] = where{rest[:1], string(channel)}
			}
		}
	}
	return found
}

// watch adds samples up.
type watch struct {
	least   time.Duration
	samples map[where]int
	longest map[where]time.Duration
	since   map[thread]time.Duration // when a thread was first found where it is
	last    map[thread]where
	at      time.Duration // of the last sample
	taken   int
}

func newWatch(least time.Duration) *watch {
	return &watch{
		least: least, samples: map[where]int{}, longest: map[where]time.Duration{},
		since: map[thread]time.Duration{}, last: map[thread]where{},
	}
}

// take adds a sample; what a thread has left is printed where it took long. A wait counts from its first to its last sample.
func (w *watch) take(at time.Duration, now map[thread]where, out io.Writer) {
	var left []thread
	for t, was := range w.last {
		if now[t] != was {
			left = append(left, t)
		}
	}
	slices.SortFunc(left, func(a, b thread) int { return cmp.Or(cmp.Compare(a.pid, b.pid), cmp.Compare(a.tid, b.tid)) })
	for _, t := range left {
		was, took := w.last[t], w.at-w.since[t]
		w.longest[was] = max(w.longest[was], took)
		if was.state == "D" && took >= w.least {
			fmt.Fprintf(out, "%7.1f s: process %d, thread %d waited %.1f s in %s\n", w.since[t].Seconds(), t.pid, t.tid, took.Seconds(), was.channel)
		}
		delete(w.last, t)
		delete(w.since, t)
	}
	for t, is := range now {
		w.samples[is]++
		if _, ok := w.since[t]; !ok {
			w.since[t], w.last[t] = at, is
		}
	}
	w.at = at
	w.taken++
}

// report prints the samples by what was waited for, the most frequent first.
func (w *watch) report(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "state\twait channel\tsamples\tlongest s")
	found := make([]where, 0, len(w.samples))
	for at := range w.samples {
		found = append(found, at)
	}
	slices.SortFunc(found, func(a, b where) int {
		return cmp.Or(cmp.Compare(w.samples[b], w.samples[a]), strings.Compare(a.channel, b.channel), strings.Compare(a.state, b.state))
	})
	for _, at := range found {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\n", at.state, at.channel, w.samples[at], w.longest[at].Seconds())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(found) == 0 {
		return fmt.Errorf("%d samples found no such process", w.taken)
	}
	return nil
}
