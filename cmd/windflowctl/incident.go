package main

import (
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/spf13/cobra"

	"windflow/internal/incident"
	"windflow/internal/record"
)

func incidentCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "incident RECORDS...",
		Short: "Tell from records of one or more routers what happened, and who was hurt",
		Long: "Join the records of one or more routers and print whose clock is off, when service was worse than in the calm and for\n" +
			"whom, what states engines were in then, and what is missing. Times are on the first router's clock.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			files, err := record.SegmentFiles(paths...)
			if err != nil {
				return err
			}
			j := incident.NewJoiner()
			read, err := record.ReadSegments(files, func(h *record.Header, r record.Record) error { j.Add(h, r); return nil })
			if err != nil {
				return err
			}
			complain(c, read)
			tell(c.OutOrStdout(), j.Timeline())
			return nil
		},
	}
}

// plain takes out of a name what a terminal might take for more than text.
func plain(name string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f || c >= 0x80 && c < 0xa0 {
			return '?'
		}
		return c
	}, name)
}

func tell(w io.Writer, s *incident.Timeline) {
	fmt.Fprintf(w, "%s to %s, %.0f s\n\nProcesses\n", stamp(s.From), stamp(s.To), (s.To-s.From)/1000)
	for _, p := range s.Processes {
		how := fmt.Sprintf("clock off by %+.1f ms, within %.0f ms, by %d marks", p.Clock.OffsetMS, p.Clock.Within, p.Clock.Marks)
		if p.Clock.Drift != 0 {
			how += fmt.Sprintf(", drifting %+.0f ppm", p.Clock.Drift*1e6)
		}
		if !p.Clock.Told {
			how = fmt.Sprintf("clock not told by these records: taken to agree within %.0f ms", p.Clock.Within)
		}
		fmt.Fprintf(w, "  %s, place %d: %s to %s; %s\n", plain(p.Router), p.Place, stamp(p.From), stamp(p.To), how)
	}
	for _, m := range s.Missing {
		what := "nothing was written"
		if m.Records > 0 {
			what = fmt.Sprintf("%d records were dropped", m.Records)
		}
		fmt.Fprintf(w, "  missing: %s, %s to %s: %s\n", plain(m.Router), stamp(m.From), stamp(m.To), what)
	}
	if len(s.Incidents) == 0 {
		fmt.Fprintf(w, "\nNo incident: service stayed within %.0f%% of the calm.\n", 8.0)
		return
	}
	for i, in := range s.Incidents {
		fmt.Fprintf(w, "\nIncident %d: %s to %s, %.0f s: %.0f%% of the worth was lost, %.0f%% in the calm\n", i+1, stamp(in.From),
			stamp(in.To), (in.To-in.From)/1000, 100*in.Loss, 100*s.Base)
		for k, h := range in.Hurt {
			if k == 8 || h.Part < 0.01 {
				break
			}
			fmt.Fprintf(w, "  %s of %s: lost %.0f%% (calm %.0f%%), %.0f%% of all that was lost; of %d: %d late, %d refused, %d failed\n",
				plain(h.Class), plain(or(h.Tenant, "no tenant")), 100*h.Loss, 100*h.Calm, 100*h.Part, h.Ended, h.Late, h.Refused, h.Failed)
		}
		for _, e := range s.Engines {
			var spans []string
			for _, span := range e.Spans {
				if span.State == record.Normal || span.To < in.From || span.From > in.To {
					continue
				}
				text := fmt.Sprintf("%s at %s from %+.1f s to %+.1f s", span.State, plain(span.Router), (span.From-in.From)/1000,
					math.Min(span.To-in.From, in.To-in.From)/1000)
				if span.Slow > 1.2 {
					text += fmt.Sprintf(" (times %.1f)", span.Slow)
				}
				if span.Lost > 0 {
					text += fmt.Sprintf(" (%d connections lost in a row)", span.Lost)
				}
				spans = append(spans, text)
			}
			if len(spans) > 0 {
				fmt.Fprintf(w, "  engine %s: %s\n", plain(e.ID), strings.Join(spans, "; "))
			}
		}
	}
}

func or(a, b string) string {
	if a == "" {
		return b
	}
	return a
}
