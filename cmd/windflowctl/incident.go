package main

import (
	"github.com/spf13/cobra"

	"windflow/internal/incident"
	"windflow/internal/record"
)

func incidentCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "incident RECORDS...",
		Short: "Report the incidents in the records of one or more routers, and whom they affected",
		Long: "Join the records of one or more routers and print the offsets of their clocks, the incidents in which " +
			"requests lost\n" +
			"more value than usual, with the affected classes and tenants and the states of engines, and the time\n" +
			"ranges without records. Times are on the clock of a reference process, the one with the most shared events.",
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
