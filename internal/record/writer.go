package record

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Config is the section records of the settings (package site, whose schema says what is allowed).
type Config struct {
	Dir               string  `json:"dir"`
	SegmentMB         float64 `json:"segment_mb"` // a segment is closed at that size
	TotalMB           float64 `json:"total_mb"`   // of all segments in the folder; the oldest go
	MaxAgeHours       float64 `json:"max_age_h"`  // segments older than that go
	FailuresPerSecond int     `json:"samples"`    // refusals and failures written in full, a second
}

// DefaultConfig are the values of fields that are not given.
var DefaultConfig = Config{SegmentMB: 8, TotalMB: 256, MaxAgeHours: 168, FailuresPerSecond: 20}

const (
	// Suffix is that of segment files.
	Suffix = ".wfr"
	// maxQueued bounds the records that wait for the writer; what does not fit is dropped and counted.
	maxQueued = 2048
	// retryEvery is how often a disk that failed is tried again; flushEvery how long a record may wait for its write.
	retryEvery = 2 * time.Second
	flushEvery = 200 * time.Millisecond
	// maxBuffer is written at once at the latest.
	maxBuffer = 64 << 10
)

// Counters count what the writer did.
type Counters struct {
	Written  atomic.Int64 `status:"written"`
	Dropped  atomic.Int64 `status:"dropped"`
	Bytes    atomic.Int64 `status:"bytes"`
	Segments atomic.Int64 `status:"segments"`
	Failures atomic.Int64 `status:"failures"`
}

// Writer writes records in a goroutine of its own. The caller never waits for it, nor for a disk.
type Writer struct {
	cfg      atomic.Pointer[Config]
	head     Header
	now      func() float64 // the router's clock; safe for use in any goroutine
	queue    chan Record
	done     chan struct{}
	ended    chan struct{}
	failed   func(error) // called when the disk fails first, and with nil when it is back
	dropped  atomic.Int64
	dropFrom atomic.Int64 // when the first of them was dropped, in microseconds
	Counters Counters

	file    *os.File
	size    int64
	segment uint64
	broken  bool
	tryAt   time.Time
	buf     []byte
	waiting int // records in buf
}

// StartWriter starts a writer. failed hears, in the writer's goroutine, that the disk can't be written, once, and with nil that
// it can be again.
func StartWriter(cfg Config, head Header, now func() float64, failed func(error)) *Writer {
	head.Version = Version
	w := &Writer{head: head, now: now, failed: failed, queue: make(chan Record, maxQueued), done: make(chan struct{}), ended: make(chan struct{})}
	w.cfg.Store(&cfg)
	go w.run()
	return w
}

// Configure has the writer go by other settings, but for the folder, from the next segment on.
func (w *Writer) Configure(cfg Config) {
	cfg.Dir = w.cfg.Load().Dir
	w.cfg.Store(&cfg)
}

// Put queues a record, which is the writer's from then on. It never blocks; what does not fit is counted, and a Gap says
// how much.
func (w *Writer) Put(r Record) {
	select {
	case w.queue <- r:
	default:
		w.drop(1)
	}
}

func (w *Writer) drop(n int) {
	if n == 0 {
		return
	}
	w.Counters.Dropped.Add(int64(n))
	if w.dropped.Add(int64(n)) == int64(n) {
		w.dropFrom.Store(int64(w.now() * 1e3))
	}
}

// Close writes what is queued and ends the writer; it waits for that a second at most.
func (w *Writer) Close() {
	close(w.done)
	select {
	case <-w.ended:
	case <-time.After(time.Second):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case r := <-w.queue:
			w.add(r)
			if len(w.buf) >= maxBuffer {
				w.flush()
			}
		case <-tick.C:
			w.flush()
		case <-w.done:
			for {
				select {
				case r := <-w.queue:
					w.add(r)
					continue
				default:
				}
				break
			}
			w.flush()
			if w.file != nil {
				_ = w.file.Close()
			}
			return
		}
	}
}

func (w *Writer) add(r Record) {
	b, err := appendFrame(w.buf, r)
	if err != nil {
		w.drop(1)
		return
	}
	w.buf = b
	w.waiting++
}

// flush writes what waits. A disk that fails is tried again now and then; meanwhile records are dropped and counted.
func (w *Writer) flush() {
	gap := int(w.dropped.Load())
	if w.waiting == 0 && gap == 0 {
		return
	}
	if w.broken && time.Now().Before(w.tryAt) {
		w.lose()
		return
	}
	if err := w.write(gap); err != nil {
		if w.file != nil {
			_ = w.file.Close()
			w.file = nil
		}
		w.Counters.Failures.Add(1)
		w.tryAt = time.Now().Add(retryEvery)
		if !w.broken {
			w.broken = true
			w.failed(err)
		}
		w.lose()
		return
	}
	if w.broken {
		w.broken = false
		w.failed(nil)
	}
}

func (w *Writer) lose() {
	w.drop(w.waiting)
	w.buf, w.waiting = w.buf[:0], 0
}

func (w *Writer) write(gap int) error {
	cfg := w.cfg.Load()
	if w.file != nil && float64(w.size) >= cfg.SegmentMB*(1<<20) {
		if err := w.file.Close(); err != nil {
			return err
		}
		w.file = nil
	}
	// A segment that somebody removed, or a folder that was mounted over, would take records that nobody can read.
	if w.file != nil {
		here, err := w.file.Stat()
		if err != nil {
			return err
		}
		if there, err := os.Stat(w.file.Name()); err != nil || !os.SameFile(here, there) {
			_ = w.file.Close()
			w.file = nil
		}
	}
	if w.file == nil {
		if err := w.open(cfg); err != nil {
			return err
		}
	}
	if gap > 0 {
		from := float64(w.dropFrom.Load()) / 1e3
		var err error
		if w.buf, err = appendFrame(w.buf, &Gap{AtMS: w.now(), FromMS: from, Dropped: gap}); err != nil {
			return err
		}
	}
	n, err := w.file.Write(w.buf)
	w.size += int64(n)
	w.Counters.Bytes.Add(int64(n))
	if err != nil {
		return err
	}
	w.dropped.Add(int64(-gap))
	if w.dropped.Load() > 0 {
		w.dropFrom.Store(int64(w.now() * 1e3))
	}
	w.Counters.Written.Add(int64(w.waiting))
	w.buf, w.waiting = w.buf[:0], 0
	return nil
}

// open begins a segment, after making room for it.
func (w *Writer) open(cfg *Config) error {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return err
	}
	w.head.SegmentNumber = w.segment
	w.head.ClockMS, w.head.WallMS = w.now(), float64(time.Now().UnixMicro())/1e3
	name := fmt.Sprintf("%s-%013.0f-%d-%04d%s", safe(w.head.Router), w.head.ClockMS, w.head.Incarnation, w.segment, Suffix)
	path := filepath.Join(cfg.Dir, name)
	sweep(cfg, time.Now())
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	b, err := appendFrame(nil, &w.head)
	if err == nil {
		_, err = f.Write(b)
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(path)
		return err
	}
	w.file, w.size = f, int64(len(b))
	w.segment++
	w.Counters.Segments.Add(1)
	return nil
}

// safe makes a router's name one that a file may have.
func safe(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}

// sweep removes the segments that are over age or, the oldest first, over the size of all. Those of other processes in the
// folder count too; one that is still written to is young.
func sweep(cfg *Config, now time.Time) {
	type old struct {
		path string
		at   time.Time
		size int64
	}
	var all []old
	var total int64
	entries, err := os.ReadDir(cfg.Dir)
	if err != nil {
		return
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || !strings.HasSuffix(e.Name(), Suffix) || !info.Mode().IsRegular() {
			continue
		}
		all = append(all, old{filepath.Join(cfg.Dir, e.Name()), info.ModTime(), info.Size()})
		total += info.Size()
	}
	slices.SortFunc(all, func(a, b old) int { return a.at.Compare(b.at) })
	for _, s := range all {
		aged := cfg.MaxAgeHours > 0 && now.Sub(s.at).Hours() > cfg.MaxAgeHours
		if !aged && float64(total)+cfg.SegmentMB*(1<<20) <= cfg.TotalMB*(1<<20) {
			continue
		}
		if os.Remove(s.path) == nil {
			total -= s.size
		}
	}
}

// SegmentFiles gives the segment files that paths name, folders with all in them, in the order of their names, which is that of
// each process's time.
func SegmentFiles(paths ...string) (files []string, err error) {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		err = filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
			if err == nil && d.Type().IsRegular() && strings.HasSuffix(p, Suffix) {
				files = append(files, p)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if len(files) == 0 {
		return nil, errors.New("no segments of records (*" + Suffix + ") there")
	}
	slices.Sort(files)
	return slices.Compact(files), nil
}

// SegmentResult is what was read of one.
type SegmentResult struct {
	Path    string
	Header  Header
	Records int
	Damage  []Damage
	Err     error // why it can't be read, or not to its end
}

// ReadSegments reads segment files one after the other and hands each record on; it holds no more than one in memory. A file that
// can't be read is told of in what it returns, and the others are read all the same; an error of each ends it.
func ReadSegments(files []string, each func(h *Header, r Record) error) (read []SegmentResult, err error) {
	for _, path := range files {
		got := SegmentResult{Path: path}
		f, err := os.Open(path)
		if err != nil {
			got.Err = err
			read = append(read, got)
			continue
		}
		r, err := NewReader(f)
		for err == nil {
			var rec Record
			if rec, err = r.Next(); err == nil {
				got.Records++
				if err := each(&r.Header, rec); err != nil {
					_ = f.Close()
					return read, err
				}
			}
		}
		_ = f.Close()
		got.Header, got.Damage = r.Header, r.Damage
		if err != io.EOF || got.Header.Version == 0 {
			got.Err = err
			if err == io.EOF {
				got.Err = errors.New("it ends before its header does")
			}
		}
		read = append(read, got)
	}
	return read, nil
}

// NewProcessID gives a name that no other process has.
func NewProcessID(startMS float64) string {
	return strconv.Itoa(os.Getpid()) + "." + strconv.FormatInt(int64(startMS*1e3), 36)
}
