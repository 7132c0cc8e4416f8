package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"windflow/internal/record"
)

// cutOptions are the flags of "records cut", as they were given.
type cutOptions struct{ from, to, dir string }

func recordsCutCommand() *cobra.Command {
	var options cutOptions
	cmd := &cobra.Command{
		Use:   "cut --from TIME --to TIME -o FOLDER RECORDS...",
		Short: "Take a span of time out of records",
		Long: "Take the records of a span of time, with the engines' states at its beginning, to segments in " +
			"another folder.\n" +
			"TIME is as 2026-11-30T14:05:00Z, on the routers' clocks.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error { return cutRecords(cmd, paths, options) },
	}
	cmd.Flags().StringVar(&options.from, "from", "", "first `time`")
	cmd.Flags().StringVar(&options.to, "to", "", "last `time`")
	cmd.Flags().StringVarP(&options.dir, "out", "o", "", "`folder` for the segments")
	return cmd
}

func cutRecords(cmd *cobra.Command, paths []string, options cutOptions) error {
	startMS, err := parseTime("from", options.from)
	if err != nil {
		return err
	}
	endMS, err := parseTime("to", options.to)
	if err != nil {
		return err
	}
	if endMS <= startMS {
		return errors.New("--to: it is not after --from")
	}
	if options.dir == "" {
		return errors.New("-o: no folder is named")
	}
	files, err := record.SegmentFiles(paths...)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(options.dir, 0o700); err != nil {
		return err
	}
	n, err := record.Extract(files, options.dir, startMS, endMS)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d records\n", n)
	return nil
}

// parseTime parses the time of a flag into milliseconds since the Unix epoch.
func parseTime(flag, text string) (ms float64, err error) {
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("--%s: %q is no time such as 2026-11-30T14:05:00Z", flag, text)
	}
	return float64(parsed.UnixMicro()) / microsPerMilli, nil
}
