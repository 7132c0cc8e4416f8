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
	fmt.Fprintf(w, "%s to %s, %.0f s\n\nProcesses\n", stamp(s.FromMS), stamp(s.ToMS), (s.ToMS-s.FromMS)/1000)
	for _, p := range s.Processes {
		how := fmt.Sprintf("clock off by %+.1f ms, within %.0f ms, by %d marks", p.Clock.OffsetMS, p.Clock.UncertaintyMS, p.Clock.SharedEvents)
		if p.Clock.Drift != 0 {
			how += fmt.Sprintf(", drifting %+.0f ppm", p.Clock.Drift*1e6)
		}
		if !p.Clock.Measured {
			how = fmt.Sprintf("clock not told by these records: taken to agree within %.0f ms", p.Clock.UncertaintyMS)
		}
		fmt.Fprintf(w, "  %s, place %d: %s to %s; %s\n", plain(p.Router), p.Incarnation, stamp(p.FromMS), stamp(p.ToMS), how)
	}
	for _, m := range s.Gaps {
		what := "nothing was written"
		if m.Dropped > 0 {
			what = fmt.Sprintf("%d records were dropped", m.Dropped)
		}
		fmt.Fprintf(w, "  missing: %s, %s to %s: %s\n", plain(m.Router), stamp(m.FromMS), stamp(m.ToMS), what)
	}
	if len(s.Incidents) == 0 {
		fmt.Fprintf(w, "\nNo incident: service stayed within %.0f%% of the calm.\n", 8.0)
		return
	}
	for i, in := range s.Incidents {
		fmt.Fprintf(w, "\nIncident %d: %s to %s, %.0f s: %.0f%% of the worth was lost, %.0f%% in the calm\n", i+1, stamp(in.FromMS),
			stamp(in.ToMS), (in.ToMS-in.FromMS)/1000, 100*in.Loss, 100*s.BaselineLoss)
		for k, h := range in.Impacts {
			if k == 8 || h.LossShare < 0.01 {
				break
			}
			fmt.Fprintf(w, "  %s of %s: lost %.0f%% (calm %.0f%%), %.0f%% of all that was lost; of %d: %d late, %d refused, %d failed\n",
				plain(h.Class), plain(or(h.Tenant, "no tenant")), 100*h.Loss, 100*h.BaselineLoss, 100*h.LossShare, h.Ended, h.Late, h.Rejected, h.Failed)
		}
		for _, e := range s.Engines {
			var spans []string
			for _, span := range e.Spans {
				if span.State == record.Normal || span.ToMS < in.FromMS || span.FromMS > in.ToMS {
					continue
				}
				text := fmt.Sprintf("%s at %s from %+.1f s to %+.1f s", span.State, plain(span.Router), (span.FromMS-in.FromMS)/1000,
					math.Min(span.ToMS-in.FromMS, in.ToMS-in.FromMS)/1000)
				if span.Slowness > 1.2 {
					text += fmt.Sprintf(" (times %.1f)", span.Slowness)
				}
				if span.ConnectionFailures > 0 {
					text += fmt.Sprintf(" (%d connections lost in a row)", span.ConnectionFailures)
				}
				spans = append(spans, text)
			}
			if len(spans) > 0 {
				fmt.Fprintf(w, "  engine %s: %s\n", plain(e.EngineID), strings.Join(spans, "; "))
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
