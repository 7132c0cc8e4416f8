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

// Extract copies the records from startMS to endMS, on their routers' clocks, into one segment per process in dir,
// and returns their number. Each segment begins with the states that the engines had at startMS, so that it can be
// read alone.
func Extract(files []string, dir string, startMS, endMS float64) (records int, err error) {
	e := &extractor{dir: dir, startMS: startMS, endMS: endMS, processes: map[string]*extractedProcess{}}
	_, err = ReadSegments(files, e.add)
	return e.records, cmp.Or(err, e.close())
}

// extractor copies a span of time.
type extractor struct {
	dir            string
	startMS, endMS float64
	processes      map[string]*extractedProcess // by process id
	records        int
}

// extractedProcess is what is extracted of a process. It has no file until one of its records lies in the span.
type extractedProcess struct {
	file       *os.File
	writer     *bufio.Writer
	buf        []byte
	lastStates map[string]*EngineChange // the last of each engine before the span
}

// add processes the next record of a process.
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

// startSegment creates a process's segment, with the engines' states at the start of the span.
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

// close completes all segments and returns the first error.
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
