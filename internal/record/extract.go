package record

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// Extract writes the records from start to end, on their routers' clocks in milliseconds, to one segment a process in dir, and
// gives their number. Each begins with the engines' states at the start, so that it can be understood alone.
func Extract(files []string, dir string, start, end float64) (n int, err error) {
	type out struct {
		f      *os.File
		w      *bufio.Writer
		states map[string]*EngineChange // before the span
	}
	all := map[string]*out{}
	defer func() {
		for _, o := range all {
			if o.f == nil {
				continue
			}
			if e := o.w.Flush(); err == nil {
				err = e
			}
			if e := o.f.Close(); err == nil {
				err = e
			}
		}
	}()
	var buf []byte
	write := func(o *out, r Record) error {
		b, err := appendFrame(buf[:0], r)
		if err != nil {
			return err
		}
		buf = b
		_, err = o.w.Write(b)
		return err
	}
	_, err = ReadSegments(files, func(h *Header, r Record) error {
		at := When(r)
		o := all[h.ProcessID]
		if o == nil {
			o = &out{states: map[string]*EngineChange{}}
			all[h.ProcessID] = o
		}
		if at < start {
			if e, ok := r.(*EngineChange); ok {
				o.states[e.EngineID] = e
			}
			return nil
		}
		if at > end {
			return nil
		}
		if o.f == nil {
			path := filepath.Join(dir, fmt.Sprintf("%s-%013.0f-%d-cut%s", safe(h.Router), start, h.Incarnation, Suffix))
			var err error
			if o.f, err = os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
				return err
			}
			o.w = bufio.NewWriter(o.f)
			head := *h
			head.SegmentNumber, head.WallMS, head.ClockMS = 0, h.WallMS+start-h.ClockMS, start
			if err := write(o, &head); err != nil {
				return err
			}
			ids := make([]string, 0, len(o.states))
			for id := range o.states {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			for _, id := range ids {
				e := *o.states[id]
				if e.State == Gone {
					continue
				}
				e.AtMS, e.Previous = start, e.State
				if err := write(o, &e); err != nil {
					return err
				}
				n++
			}
		}
		n++
		return write(o, r)
	})
	return n, err
}
