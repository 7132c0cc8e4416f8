package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"windflow/internal/record"
)

// cutOptions has the unparsed values of the flags of "records cut".
type cutOptions struct{ from, to, dir string }

func recordsCutCommand() *cobra.Command {
	var options cutOptions
	cmd := &cobra.Command{
		Use:   "cut --from TIME --to TIME -o FOLDER RECORDS...",
		Short: "Extract the records of a time range",
		Long: "Copy the records of a time range, with the states of the engines at its beginning, to segments in " +
			"another folder.\n" +
			"TIME has a form such as 2026-11-30T14:05:00Z and is on the routers' clocks.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error { return cutRecords(cmd, paths, options) },
	}
	cmd.Flags().StringVar(&options.from, "from", "", "start `time` of the range")
	cmd.Flags().StringVar(&options.to, "to", "", "end `time` of the range")
	cmd.Flags().StringVarP(&options.dir, "out", "o", "", "`folder` for the new segments")
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
		return fmt.Errorf("--to: %s is not after --from (%s)", options.to, options.from)
	}
	if options.dir == "" {
		return errors.New("-o: a folder for the new segments is required")
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

// parseTime converts the value of a flag to milliseconds since the Unix epoch. Its error names the flag.
func parseTime(flag, text string) (ms float64, err error) {
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("--%s: %q is not a time such as 2026-11-30T14:05:00Z", flag, text)
	}
	return float64(parsed.UnixMicro()) / microsPerMilli, nil
}
