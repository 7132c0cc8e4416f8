package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"windflow/internal/record"
)

func recordsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "records", Short: "Print, verify and extract records",
		Long: "Print, verify and extract the records that routers write if their settings have a section \"records\".\n" +
			"RECORDS are segment files or folders that contain them.",
	}
	cmd.AddCommand(recordsCatCommand(), recordsCheckCommand(), recordsCutCommand())
	return cmd
}

// formatTime formats a time in milliseconds since the Unix epoch as UTC, with milliseconds.
func formatTime(ms float64) string {
	return time.UnixMicro(int64(ms * microsPerMilli)).UTC().Format("2006-01-02T15:04:05.000Z")
}

const microsPerMilli = 1e3

// warnUnreadable prints the errors and the damage of segment files to standard error.
func warnUnreadable(cmd *cobra.Command, results []record.SegmentResult) {
	for _, result := range results {
		if result.Err != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", result.Path, result.Err)
		}
		for _, damage := range result.Damage {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", result.Path, damage)
		}
	}
}
