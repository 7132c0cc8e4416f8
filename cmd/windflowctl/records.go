package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"windflow/internal/record"
)

func recordsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "records", Short: "Read, verify and cut records",
		Long: "Read, verify and cut the records that routers write where their settings have a section \"records\".\nRECORDS are segment files, or folders of them.",
	}
	cmd.AddCommand(catCommand(), checkCommand(), cutCommand())
	return cmd
}

// line is a record as it is printed: what it is, whose, and what it holds.
type line struct {
	Kind    string        `json:"kind"`
	Router  string        `json:"router"`
	Place   uint64        `json:"place"`
	Process string        `json:"process"`
	Time    string        `json:"time"`
	Record  record.Record `json:"record"`
}

var kindNames = map[string]func(record.Record) bool{
	"header": func(r record.Record) bool { _, ok := r.(*record.Header); return ok },
	"engine": func(r record.Record) bool { _, ok := r.(*record.EngineChange); return ok },
	"second": func(r record.Record) bool { _, ok := r.(*record.Interval); return ok },
	"answer": func(r record.Record) bool { _, ok := r.(*record.RequestFailure); return ok },
	"event":  func(r record.Record) bool { _, ok := r.(*record.Event); return ok },
	"gap":    func(r record.Record) bool { _, ok := r.(*record.Gap); return ok },
}

func kindOf(r record.Record) string {
	for name, is := range kindNames {
		if is(r) {
			return name
		}
	}
	return ""
}

// stamp words a time of a router's clock.
func stamp(ms float64) string {
	return time.UnixMicro(int64(ms * 1e3)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func catCommand() *cobra.Command {
	var kinds []string
	cmd := &cobra.Command{
		Use:   "cat RECORDS...",
		Short: "Print records as JSON, one on a line",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			for _, k := range kinds {
				if kindNames[k] == nil {
					return fmt.Errorf("--kind: %q is none of header, engine, second, answer, event, gap", k)
				}
			}
			files, err := record.SegmentFiles(paths...)
			if err != nil {
				return err
			}
			out := bufio.NewWriter(c.OutOrStdout())
			defer out.Flush()
			enc := json.NewEncoder(out)
			print := func(h *record.Header, r record.Record) error {
				kind := kindOf(r)
				if len(kinds) > 0 {
					wanted := false
					for _, k := range kinds {
						wanted = wanted || k == kind
					}
					if !wanted {
						return nil
					}
				}
				return enc.Encode(line{kind, h.Router, h.Incarnation, h.ProcessID, stamp(r.TimeMS()), r})
			}
			last := ""
			read, err := record.ReadSegments(files, func(h *record.Header, r record.Record) error {
				if key := h.ProcessID + "/" + strconv.FormatUint(h.SegmentNumber, 10); key != last {
					last = key
					if err := print(h, h); err != nil {
						return err
					}
				}
				return print(h, r)
			})
			complain(c, read)
			return err
		},
	}
	cmd.Flags().StringSliceVar(&kinds, "kind", nil, "only these `kinds`: header, engine, second, answer, event, gap")
	return cmd
}

// complain tells of what could not be read, and gives the number of files that it tells of.
func complain(c *cobra.Command, read []record.SegmentResult) (n int) {
	for _, f := range read {
		if f.Err != nil {
			fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", f.Path, f.Err)
			n++
		}
		for _, d := range f.Damage {
			fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", f.Path, d)
		}
		if len(f.Damage) > 0 && f.Err == nil {
			n++
		}
	}
	return n
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check RECORDS...",
		Short: "Verify records: sums, order, and what is missing",
		Long: "Verify records: the sum of each, the order of segments, and what is missing. A segment that a kill cut off is told\n" +
			"of and does not count as damaged. The exit status is 1 where something can't be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			files, err := record.SegmentFiles(paths...)
			if err != nil {
				return err
			}
			dropped := map[string]int{}
			read, err := record.ReadSegments(files, func(h *record.Header, r record.Record) error {
				if g, ok := r.(*record.Gap); ok {
					dropped[h.ProcessID] += g.Dropped
				}
				return nil
			})
			if err != nil {
				return err
			}
			bad := 0
			next := map[string]uint64{}
			for _, f := range read {
				what := "ok"
				switch {
				case f.Err != nil:
					what = f.Err.Error()
					bad++
				case len(f.Damage) == 1 && f.Damage[0].Truncated:
					what = f.Damage[0].String()
				case len(f.Damage) > 0:
					what = f.Damage[0].String()
					bad++
				}
				h := f.Header
				if want, known := next[h.ProcessID]; f.Err == nil && h.SegmentNumber != want && (known || h.SegmentNumber > 0) {
					what += fmt.Sprintf("; segments %d to %d of this process are not here", want, h.SegmentNumber-1)
				}
				next[h.ProcessID] = h.SegmentNumber + 1
				fmt.Fprintf(c.OutOrStdout(), "%s: router %q, place %d, process %s, segment %d, %d records: %s\n", f.Path, h.Router, h.Incarnation,
					h.ProcessID, h.SegmentNumber, f.Records, what)
			}
			for process, n := range dropped {
				fmt.Fprintf(c.OutOrStdout(), "process %s dropped %d records\n", process, n)
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d files can't be read, or not to their end", bad, len(read))
			}
			return nil
		},
	}
}

func cutCommand() *cobra.Command {
	var from, to, dir string
	cmd := &cobra.Command{
		Use:   "cut --from TIME --to TIME -o FOLDER RECORDS...",
		Short: "Take a span of time out of records",
		Long: "Take the records of a span of time, with the engines' states at its beginning, to segments in another folder.\n" +
			"TIME is as 2026-11-30T14:05:00Z, on the routers' clocks.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			parse := func(flag, text string) (float64, error) {
				t, err := time.Parse(time.RFC3339Nano, text)
				if err != nil {
					return 0, fmt.Errorf("--%s: %q is no time such as 2026-11-30T14:05:00Z", flag, text)
				}
				return float64(t.UnixMicro()) / 1e3, nil
			}
			start, err := parse("from", from)
			if err != nil {
				return err
			}
			end, err := parse("to", to)
			if err != nil {
				return err
			}
			if end <= start {
				return fmt.Errorf("--to: it is not after --from")
			}
			if dir == "" {
				return fmt.Errorf("-o: no folder is named")
			}
			files, err := record.SegmentFiles(paths...)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			n, err := record.Extract(files, dir, start, end)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records\n", n)
			return nil
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "first `time`")
	cmd.Flags().StringVar(&to, "to", "", "last `time`")
	cmd.Flags().StringVarP(&dir, "out", "o", "", "`folder` for the segments")
	return cmd
}
