package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"strings"

	"windflow/internal/incident"
	"windflow/internal/record"
)

const (
	msPerSecond = 1000
	// maxImpacts is the number of impacts printed per incident; those with a loss share below minLossShare are omitted.
	maxImpacts   = 8
	minLossShare = 0.01
	// minSlowness is the value above which the slowness of an engine is printed.
	minSlowness = 1.2
)

// incidentReport prints a timeline to out.
type incidentReport struct {
	out      io.Writer
	timeline *incident.Timeline
}

func (r *incidentReport) printf(format string, args ...any) { fmt.Fprintf(r.out, format, args...) }

func (r *incidentReport) print() {
	timeline := r.timeline
	r.printf("%s to %s, %.0f s\n\nProcesses\n", formatTime(timeline.FromMS), formatTime(timeline.ToMS),
		(timeline.ToMS-timeline.FromMS)/msPerSecond)
	for _, process := range timeline.Processes {
		r.printf("  %s, place %d: %s to %s; %s\n", printable(process.Router), process.Incarnation,
			formatTime(process.FromMS), formatTime(process.ToMS), describeClock(process.Clock))
	}
	for _, gap := range timeline.Gaps {
		r.printf("  missing: %s, %s to %s: %s\n", printable(gap.Router), formatTime(gap.FromMS), formatTime(gap.ToMS),
			describeGap(gap))
	}
	if len(timeline.Incidents) == 0 {
		r.printf("\nNo incident: service stayed within %.0f%% of the calm.\n", 100*incident.RiseThreshold)
		return
	}
	for i, found := range timeline.Incidents {
		r.printIncident(i+1, found)
	}
}

func describeClock(clock incident.Clock) string {
	if !clock.Measured {
		return fmt.Sprintf("clock not told by these records: taken to agree within %.0f ms", clock.UncertaintyMS)
	}
	text := fmt.Sprintf("clock off by %+.1f ms, within %.0f ms, by %d marks", clock.OffsetMS, clock.UncertaintyMS,
		clock.SharedEvents)
	if clock.Drift != 0 {
		text += fmt.Sprintf(", drifting %+.0f ppm", clock.Drift*1e6)
	}
	return text
}

func describeGap(gap incident.Gap) string {
	if gap.Dropped > 0 {
		return fmt.Sprintf("%d records were dropped", gap.Dropped)
	}
	return "nothing was written"
}

func (r *incidentReport) printIncident(number int, found incident.Incident) {
	r.printf("\nIncident %d: %s to %s, %.0f s: %.0f%% of the worth was lost, %.0f%% in the calm\n", number,
		formatTime(found.FromMS), formatTime(found.ToMS), (found.ToMS-found.FromMS)/msPerSecond,
		100*found.Loss, 100*r.timeline.BaselineLoss)
	for i, impact := range found.Impacts {
		if i == maxImpacts || impact.LossShare < minLossShare {
			break
		}
		r.printImpact(impact)
	}
	for _, engine := range r.timeline.Engines {
		if states := abnormalStates(engine, found); len(states) > 0 {
			r.printf("  engine %s: %s\n", printable(engine.EngineID), strings.Join(states, "; "))
		}
	}
}

func (r *incidentReport) printImpact(impact incident.Impact) {
	r.printf("  %s of %s: lost %.0f%% (calm %.0f%%), %.0f%% of all that was lost; of %d: %d late, %d refused, %d "+
		"failed\n",
		printable(impact.Class), printable(cmp.Or(impact.Tenant, "no tenant")), 100*impact.Loss,
		100*impact.BaselineLoss, 100*impact.LossShare, impact.Ended, impact.Late, impact.Rejected, impact.Failed)
}

// abnormalStates describes the states of an engine during an incident, without record.Normal.
func abnormalStates(engine incident.EngineHistory, during incident.Incident) (states []string) {
	for _, span := range engine.Spans {
		if span.State != record.Normal && span.ToMS >= during.FromMS && span.FromMS <= during.ToMS {
			states = append(states, describeSpan(span, during))
		}
	}
	return states
}

// describeSpan describes a state of an engine. Its times are in seconds after the beginning of the incident.
func describeSpan(span incident.Span, during incident.Incident) string {
	text := fmt.Sprintf("%s at %s from %+.1f s to %+.1f s", span.State, printable(span.Router),
		(span.FromMS-during.FromMS)/msPerSecond,
		math.Min(span.ToMS-during.FromMS, during.ToMS-during.FromMS)/msPerSecond)
	if span.Slowness > minSlowness {
		text += fmt.Sprintf(" (times %.1f)", span.Slowness)
	}
	if span.ConnectionFailures > 0 {
		text += fmt.Sprintf(" (%d connections lost in a row)", span.ConnectionFailures)
	}
	return text
}

// printable replaces the control characters in a name with '?', because a terminal might interpret them. Names of
// routers, classes, tenants and engines in records may contain any character.
func printable(name string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f || c >= 0x80 && c < 0xa0 {
			return '?'
		}
		return c
	}, name)
}
