package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// threadsOptions are the flags of the threads command.
type threadsOptions struct {
	processName string
	pids        []int
	interval    time.Duration
	duration    time.Duration
	minWait     time.Duration
}

// threadsCommand watches where the threads of routers wait in the kernel. The log of a router says that its loop was
// blocked; this command shows in what.
func threadsCommand() *cobra.Command {
	var options threadsOptions
	cmd := &cobra.Command{
		Use:   "threads",
		Short: "Watch what threads of running routers wait for in the kernel",
		Long: "Samples the state and the wait channel of each thread, from /proc. A wait that nothing interrupts, " +
			"in which a thread is\n" +
			"found for --least or more, is printed once it ends; at the end come the samples by wait channel. It " +
			"needs the right to\n" +
			"read them, mostly root's.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return watchThreads(cmd, options) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.processName, "name", "windflow",
		"`name` of the processes to watch, those that start later included")
	flags.IntSliceVar(&options.pids, "pid", nil, "`process` to watch in place of those of a name")
	flags.DurationVar(&options.interval, "every", 100*time.Millisecond, "`time` between two samples")
	flags.DurationVar(&options.duration, "for", time.Minute, "`time` to watch")
	flags.DurationVar(&options.minWait, "least", 300*time.Millisecond,
		"`time` from which an uninterruptible wait is printed")
	return cmd
}

func watchThreads(cmd *cobra.Command, options threadsOptions) error {
	if options.interval <= 0 || options.duration < options.interval {
		return fmt.Errorf("--every: %v is not between 0 and --for (%v)", options.interval, options.duration)
	}
	watch := newThreadWatch(options.minWait, cmd.OutOrStdout())
	start := time.Now()
	for next := start; time.Since(start) < options.duration; next = next.Add(options.interval) {
		time.Sleep(time.Until(next))
		watch.add(time.Since(start), sampleThreads("/proc", options.processName, options.pids))
	}
	watch.add(time.Since(start), nil)
	return watch.summarize()
}
