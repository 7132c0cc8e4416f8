package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// threadsOptions has the values of the flags of the threads command.
type threadsOptions struct {
	processName string
	pids        []int
	interval    time.Duration
	duration    time.Duration
	minWait     time.Duration
}

// threadsCommand returns the command that shows where the threads of routers wait in the kernel. The log of a router
// says that its event loop was blocked; this command helps to find the cause.
func threadsCommand() *cobra.Command {
	var options threadsOptions
	cmd := &cobra.Command{
		Use:   "threads",
		Short: "Show where threads of running routers wait in the kernel",
		Long: "Sample the state and the wait channel of each thread from /proc. An uninterruptible wait of at least " +
			"--least is printed\n" +
			"when it ends. At the end, the samples are summarized by state and wait channel. Reading wait channels\n" +
			"usually requires root.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return watchThreads(cmd, options) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.processName, "name", "windflow",
		"`name` of the processes to watch, including processes that start later")
	flags.IntSliceVar(&options.pids, "pid", nil, "id of a `process` to watch instead of those selected by --name")
	flags.DurationVar(&options.interval, "every", 100*time.Millisecond, "`time` between samples")
	flags.DurationVar(&options.duration, "for", time.Minute, "`time` for which to watch")
	flags.DurationVar(&options.minWait, "least", 300*time.Millisecond,
		"`time` that an uninterruptible wait must last to be printed")
	return cmd
}

// watchThreads samples threads until the duration is over, and prints a summary.
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
