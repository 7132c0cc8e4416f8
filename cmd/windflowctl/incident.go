package main

import (
	"github.com/spf13/cobra"

	"windflow/internal/incident"
	"windflow/internal/record"
)

func incidentCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "incident RECORDS...",
		Short: "Tell from records of one or more routers what happened, and who was hurt",
		Long: "Join the records of one or more routers and print whose clock is off, when service was worse than in " +
			"the calm and for\n" +
			"whom, what states engines were in then, and what is missing. Times are on the first router's clock.",
		Args: cobra.MinimumNArgs(1),
		RunE: reportIncidents,
	}
}

func reportIncidents(cmd *cobra.Command, paths []string) error {
	files, err := record.SegmentFiles(paths...)
	if err != nil {
		return err
	}
	joiner := incident.NewJoiner()
	results, err := record.ReadSegments(files, func(header *record.Header, next record.Record) error {
		joiner.Add(header, next)
		return nil
	})
	if err != nil {
		return err
	}
	warnUnreadable(cmd, results)
	report := &incidentReport{out: cmd.OutOrStdout(), timeline: joiner.Timeline()}
	report.print()
	return nil
}
