package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"windflow/internal/record"
)

func recordsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check RECORDS...",
		Short: "Verify records: checksums, order, and missing segments",
		Long: "Verify the checksums of records and the order of segments, and report missing segments and dropped " +
			"records.\n" +
			"A segment that was truncated when its process was killed is reported, but does not count as damaged. The\n" +
			"exit status is 1 if a file is damaged or can't be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: checkRecords,
	}
}

func checkRecords(cmd *cobra.Command, paths []string) error {
	files, err := record.SegmentFiles(paths...)
	if err != nil {
		return err
	}
	dropped := map[string]int{} // by process id
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
	nextSegments := map[string]uint64{} // by process id, the number of the segment expected next
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

// describeSegment describes the state of a segment. It returns false if the segment is unreadable or damaged. A
// truncated segment counts as readable.
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

// describeMissing describes the segments that are missing before the given one, or returns "" if there are none.
// nextSegments has the number of the segment expected next, by process id.
func describeMissing(result record.SegmentResult, nextSegments map[string]uint64) string {
	number := result.Header.SegmentNumber
	expected, known := nextSegments[result.Header.ProcessID]
	if result.Err != nil || number == expected || !known && number == 0 {
		return ""
	}
	return fmt.Sprintf("; segments %d to %d of this process are missing", expected, number-1)
}
