package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"windflow/internal/record"
)

// printedRecord is the JSON form in which "records cat" prints a record.
type printedRecord struct {
	Kind        string        `json:"kind"`
	Router      string        `json:"router"`
	Incarnation uint64        `json:"place"`
	ProcessID   string        `json:"process"`
	Time        string        `json:"time"`
	Record      record.Record `json:"record"`
}

// Names of the kinds of records, in the output and as values of --kind.
const (
	kindHeader         = "header"
	kindEngineChange   = "engine"
	kindInterval       = "second"
	kindRequestFailure = "answer"
	kindEvent          = "event"
	kindGap            = "gap"
)

var kindNames = []string{kindHeader, kindEngineChange, kindInterval, kindRequestFailure, kindEvent, kindGap}

// kindName returns the name of a record's kind.
func kindName(of record.Record) string {
	switch of.(type) {
	case *record.Header:
		return kindHeader
	case *record.EngineChange:
		return kindEngineChange
	case *record.Interval:
		return kindInterval
	case *record.RequestFailure:
		return kindRequestFailure
	case *record.Event:
		return kindEvent
	case *record.Gap:
		return kindGap
	}
	return ""
}

func recordsCatCommand() *cobra.Command {
	var kinds []string
	cmd := &cobra.Command{
		Use:   "cat RECORDS...",
		Short: "Print records as JSON, one per line",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(cmd *cobra.Command, paths []string) error { return catRecords(cmd, paths, kinds) },
	}
	cmd.Flags().StringSliceVar(&kinds, "kind", nil,
		"print only these `kinds`: header, engine, second, answer, event, gap")
	return cmd
}

// catRecords prints the records of the given kinds, or all records if kinds is empty.
func catRecords(cmd *cobra.Command, paths, kinds []string) error {
	for _, kind := range kinds {
		if !slices.Contains(kindNames, kind) {
			return fmt.Errorf("--kind: %q is not one of header, engine, second, answer, event, gap", kind)
		}
	}
	files, err := record.SegmentFiles(paths...)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(cmd.OutOrStdout())
	defer out.Flush()
	printer := &recordPrinter{encoder: json.NewEncoder(out), kinds: kinds}
	results, err := record.ReadSegments(files, printer.add)
	warnUnreadable(cmd, results)
	return err
}

// recordPrinter prints records, and the header of each segment before its first record.
type recordPrinter struct {
	encoder     *json.Encoder
	kinds       []string    // kinds to print; empty for all
	lastSegment *segmentKey // of the last record; nil before the first
}

// segmentKey identifies a segment.
type segmentKey struct {
	processID string
	number    uint64
}

func (p *recordPrinter) add(header *record.Header, next record.Record) error {
	segment := segmentKey{header.ProcessID, header.SegmentNumber}
	if p.lastSegment == nil || *p.lastSegment != segment {
		p.lastSegment = &segment
		if err := p.print(header, header); err != nil {
			return err
		}
	}
	return p.print(header, next)
}

func (p *recordPrinter) print(header *record.Header, next record.Record) error {
	kind := kindName(next)
	if len(p.kinds) > 0 && !slices.Contains(p.kinds, kind) {
		return nil
	}
	return p.encoder.Encode(printedRecord{
		Kind: kind, Router: header.Router, Incarnation: header.Incarnation, ProcessID: header.ProcessID,
		Time: formatTime(next.TimeMS()), Record: next,
	})
}
