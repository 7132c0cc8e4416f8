package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"windflow/internal/record"
)

func recordsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check RECORDS...",
		Short: "Verify records: sums, order, and what is missing",
		Long: "Verify records: the sum of each, the order of segments, and what is missing. A segment that a kill " +
			"cut off is told\n" +
			"of and does not count as damaged. The exit status is 1 where something can't be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: checkRecords,
	}
}

func checkRecords(cmd *cobra.Command, paths []string) error {
	files, err := record.SegmentFiles(paths...)
	if err != nil {
		return err
	}
	dropped := map[string]int{} // by process
	results, err := record.ReadSegments(files, func(header *record.Header, next record.Record) error {
		if gap, ok := next.(*record.Gap); ok {
			dropped[header.ProcessID] += gap.Dropped
		}
		return nil
	})
	if err != nil {
		return err
	}
	unreadable := 0
	nextSegments := map[string]uint64{} // the number that follows, by process
	for _, result := range results {
		finding, ok := describeSegment(result)
		if !ok {
			unreadable++
		}
		header := result.Header
		fmt.Fprintf(cmd.OutOrStdout(), "%s: router %q, place %d, process %s, segment %d, %d records: %s\n", result.Path,
			header.Router, header.Incarnation, header.ProcessID, header.SegmentNumber, result.Records,
			finding+describeMissing(result, nextSegments))
		nextSegments[header.ProcessID] = header.SegmentNumber + 1
	}
	for process, n := range dropped {
		fmt.Fprintf(cmd.OutOrStdout(), "process %s dropped %d records\n", process, n)
	}
	if unreadable > 0 {
		return fmt.Errorf("%d of %d files can't be read, or not to their end", unreadable, len(results))
	}
	return nil
}

// describeSegment describes the state of a segment, and returns false for one that is unreadable or damaged. A
// truncated one counts as readable.
func describeSegment(result record.SegmentResult) (finding string, ok bool) {
	switch {
	case result.Err != nil:
		return result.Err.Error(), false
	case len(result.Damage) == 0:
		return "ok", true
	}
	truncated := len(result.Damage) == 1 && result.Damage[0].Truncated
	return result.Damage[0].String(), truncated
}

// describeMissing describes the segments that are missing before one; nextSegments has the number expected by process.
func describeMissing(result record.SegmentResult, nextSegments map[string]uint64) string {
	number := result.Header.SegmentNumber
	expected, known := nextSegments[result.Header.ProcessID]
	if result.Err != nil || number == expected || !known && number == 0 {
		return ""
	}
	return fmt.Sprintf("; segments %d to %d of this process are not here", expected, number-1)
}
