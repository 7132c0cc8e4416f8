package record

import (
	"sync/atomic"
	"time"
)

const (
	// maxQueued is the capacity of the queue of records. Records that do not fit are dropped and counted.
	maxQueued = 2048
	// retryInterval is the minimum time between two writes to a disk that failed.
	retryInterval = 2 * time.Second
	// flushInterval is the longest time that a record stays in the buffer.
	flushInterval = 200 * time.Millisecond
	// maxBufferBytes is the size of the buffer at which it is flushed without waiting for flushInterval.
	maxBufferBytes = 64 << 10
	// closeTimeout is the longest time that Close waits.
	closeTimeout = time.Second

	microsPerMilli = 1e3
)

// Counters has the metrics of a Writer: numbers of records, bytes, segments and failed writes.
type Counters struct {
	Written  atomic.Int64 `status:"written"`
	Dropped  atomic.Int64 `status:"dropped"`
	Bytes    atomic.Int64 `status:"bytes"`
	Segments atomic.Int64 `status:"segments"`
	Failures atomic.Int64 `status:"failures"`
}

// Writer writes records to segments in its own goroutine, so that callers never wait for a disk. When a write fails,
// records are dropped and counted in a Gap, and the writer retries every retryInterval.
type Writer struct {
	cfg          atomic.Pointer[Config]
	nowMS        func() float64 // the router's clock; must be safe for concurrent use
	onDiskChange func(error)
	queue        chan Record
	done         chan struct{} // closed by Close
	finished     chan struct{} // closed by the goroutine
	dropped      atomic.Int64  // number of dropped records that no Gap has counted yet
	droppedSince atomic.Int64  // when the first of these was dropped, in microseconds on the router's clock
	Counters     Counters

	// The following fields are used by the writer's goroutine only.
	header      Header
	segment     segmentFile
	nextSegment uint64
	diskFailed  bool
	retryAt     time.Time
	buf         []byte
	buffered    int // number of records in buf
}

// StartWriter starts a writer, which runs until Close. header is the template for the headers of all segments. nowMS
// returns the time on the router's clock in milliseconds and must be safe for concurrent use. The writer's goroutine
// calls onDiskChange with an error when writes begin to fail, and with nil when they succeed again.
func StartWriter(cfg Config, header Header, nowMS func() float64, onDiskChange func(error)) *Writer {
	header.Version = Version
	w := &Writer{
		header: header, nowMS: nowMS, onDiskChange: onDiskChange,
		queue: make(chan Record, maxQueued), done: make(chan struct{}), finished: make(chan struct{}),
	}
	w.cfg.Store(&cfg)
	go w.run()
	return w
}

// Configure changes the settings. The folder does not change: cfg.Dir is ignored.
func (w *Writer) Configure(cfg Config) {
	cfg.Dir = w.cfg.Load().Dir
	w.cfg.Store(&cfg)
}

// Put queues a record; the caller must not change it afterwards. It never blocks: if the queue is full, the record is
// dropped and counted in a Gap.
func (w *Writer) Put(next Record) {
	select {
	case w.queue <- next:
	default:
		w.countDropped(1)
	}
}

func (w *Writer) countDropped(n int) {
	if n == 0 {
		return
	}
	w.Counters.Dropped.Add(int64(n))
	if w.dropped.Add(int64(n)) == int64(n) {
		w.droppedSince.Store(w.nowMicros())
	}
}

func (w *Writer) nowMicros() int64 { return int64(w.nowMS() * microsPerMilli) }

// Close makes the writer write the queued records and stop. It waits for this at most closeTimeout. It must be called
// only once.
func (w *Writer) Close() {
	close(w.done)
	select {
	case <-w.finished:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.finished)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case next := <-w.queue:
			w.append(next)
			if len(w.buf) >= maxBufferBytes {
				w.flush()
			}
		case <-ticker.C:
			w.flush()
		case <-w.done:
			w.appendQueued()
			w.flush()
			w.segment.close()
			return
		}
	}
}

// append adds a record to the buffer. A record that can't be encoded is dropped and counted.
func (w *Writer) append(next Record) {
	buf, err := appendFrame(w.buf, next)
	if err != nil {
		w.countDropped(1)
		return
	}
	w.buf = buf
	w.buffered++
}

// appendQueued moves all records in the queue to the buffer.
func (w *Writer) appendQueued() {
	for {
		select {
		case next := <-w.queue:
			w.append(next)
		default:
			return
		}
	}
}

// flush writes the buffer to the segment. If the disk failed and the next retry is not due yet, it drops the records in
// the buffer and counts them.
func (w *Writer) flush() {
	dropped := int(w.dropped.Load())
	if w.buffered == 0 && dropped == 0 {
		return
	}
	if w.diskFailed && time.Now().Before(w.retryAt) {
		w.dropBuffer()
		return
	}
	if err := w.write(dropped); err != nil {
		w.reportDiskFailure(err)
		return
	}
	if w.diskFailed {
		w.diskFailed = false
		w.onDiskChange(nil)
	}
}

// reportDiskFailure closes the segment, drops the buffer and schedules the next retry. It calls onDiskChange for the
// first of consecutive failures only.
func (w *Writer) reportDiskFailure(err error) {
	w.segment.close()
	w.Counters.Failures.Add(1)
	w.retryAt = time.Now().Add(retryInterval)
	if !w.diskFailed {
		w.diskFailed = true
		w.onDiskChange(err)
	}
	w.dropBuffer()
}

func (w *Writer) dropBuffer() {
	w.countDropped(w.buffered)
	w.clearBuffer()
}

func (w *Writer) clearBuffer() { w.buf, w.buffered = w.buf[:0], 0 }

// write writes the buffer to the segment, followed by a Gap if dropped is greater than 0. dropped is the number of
// records that the Gap counts.
func (w *Writer) write(dropped int) error {
	if err := w.prepareSegment(); err != nil {
		return err
	}
	if dropped > 0 {
		gap := &Gap{AtMS: w.nowMS(), FromMS: float64(w.droppedSince.Load()) / microsPerMilli, Dropped: dropped}
		buf, err := appendFrame(w.buf, gap)
		if err != nil {
			return err
		}
		w.buf = buf
	}
	n, err := w.segment.write(w.buf)
	w.Counters.Bytes.Add(int64(n))
	if err != nil {
		return err
	}
	if w.dropped.Add(int64(-dropped)) > 0 {
		w.droppedSince.Store(w.nowMicros())
	}
	w.Counters.Written.Add(int64(w.buffered))
	w.clearBuffer()
	return nil
}

// prepareSegment closes the segment if it is full or its file was replaced, and creates a new one if none is open.
func (w *Writer) prepareSegment() error {
	cfg := w.cfg.Load()
	if err := w.segment.closeIfFull(cfg.segmentBytes()); err != nil {
		return err
	}
	if err := w.segment.closeIfReplaced(); err != nil {
		return err
	}
	if w.segment.file != nil {
		return nil
	}
	w.header.SegmentNumber = w.nextSegment
	w.header.ClockMS, w.header.WallMS = w.nowMS(), float64(time.Now().UnixMicro())/microsPerMilli
	if err := w.segment.create(cfg, &w.header); err != nil {
		return err
	}
	w.nextSegment++
	w.Counters.Segments.Add(1)
	return nil
}
