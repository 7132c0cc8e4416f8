package record

import (
	"bufio"
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// Extract copies the records between startMS and endMS, on the clocks of their routers, into one new segment per
// process in dir. Each segment begins with the states of the engines at startMS, so that it can be read without the
// earlier ones. It returns the number of records written, those states included. It fails when a segment in dir exists
// already or can't be written; files that can't be read are skipped.
func Extract(files []string, dir string, startMS, endMS float64) (records int, err error) {
	e := &extractor{dir: dir, startMS: startMS, endMS: endMS, processes: map[string]*extractedProcess{}}
	_, err = ReadSegments(files, e.add)
	return e.records, cmp.Or(err, e.close())
}

// extractor copies the records of a time range.
type extractor struct {
	dir            string
	startMS, endMS float64
	processes      map[string]*extractedProcess // by process id
	records        int
}

// extractedProcess is the new segment of one process. The file is created with the first record in the time range.
type extractedProcess struct {
	file       *os.File
	writer     *bufio.Writer
	buf        []byte
	lastStates map[string]*EngineChange // by engine id, the last change before the time range
}

// add copies a record in the time range and remembers engine states before it.
func (e *extractor) add(header *Header, next Record) error {
	process := e.processes[header.ProcessID]
	if process == nil {
		process = &extractedProcess{lastStates: map[string]*EngineChange{}}
		e.processes[header.ProcessID] = process
	}
	switch at := next.TimeMS(); {
	case at < e.startMS:
		if change, ok := next.(*EngineChange); ok {
			process.lastStates[change.EngineID] = change
		}
		return nil
	case at > e.endMS:
		return nil
	}
	if process.file == nil {
		if err := e.startSegment(process, header); err != nil {
			return err
		}
	}
	e.records++
	return process.write(next)
}

// startSegment creates the segment of a process and writes the states of the engines at startMS.
func (e *extractor) startSegment(process *extractedProcess, header *Header) error {
	name := fmt.Sprintf("%s-%013.0f-%d-cut%s", sanitizeFileName(header.Router), e.startMS, header.Incarnation, Suffix)
	file, err := os.OpenFile(filepath.Join(e.dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	process.file, process.writer = file, bufio.NewWriter(file)
	first := *header
	first.SegmentNumber, first.WallMS, first.ClockMS = 0, header.WallMS+e.startMS-header.ClockMS, e.startMS
	if err := process.write(&first); err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(process.lastStates)) {
		state := *process.lastStates[id]
		if state.State == Gone {
			continue
		}
		state.AtMS, state.Previous = e.startMS, state.State
		if err := process.write(&state); err != nil {
			return err
		}
		e.records++
	}
	return nil
}

// close flushes and closes all segments. It returns the first error.
func (e *extractor) close() error {
	var first error
	for _, process := range e.processes {
		if process.file != nil {
			first = cmp.Or(first, process.writer.Flush(), process.file.Close())
		}
	}
	return first
}

func (p *extractedProcess) write(next Record) error {
	frame, err := appendFrame(p.buf[:0], next)
	if err != nil {
		return err
	}
	p.buf = frame
	_, err = p.writer.Write(frame)
	return err
}
