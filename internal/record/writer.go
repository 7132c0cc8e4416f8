package record

import (
	"sync/atomic"
	"time"
)

const (
	// maxQueued bounds the records that wait for the writer's goroutine; further ones are dropped and counted.
	maxQueued = 2048
	// retryInterval is the time between attempts to write to a disk that failed.
	retryInterval = 2 * time.Second
	// flushInterval is how long a record may stay in the buffer.
	flushInterval = 200 * time.Millisecond
	// maxBufferBytes is the size of the buffer from which on it is flushed at once.
	maxBufferBytes = 64 << 10
	// closeTimeout bounds how long Close waits.
	closeTimeout = time.Second

	microsPerMilli = 1e3
)

// Counters count what a Writer did.
type Counters struct {
	Written  atomic.Int64 `status:"written"`
	Dropped  atomic.Int64 `status:"dropped"`
	Bytes    atomic.Int64 `status:"bytes"`
	Segments atomic.Int64 `status:"segments"`
	Failures atomic.Int64 `status:"failures"`
}

// Writer writes records to segments in its own goroutine, so that its callers never wait for it or for a disk. A disk
// that fails costs records, which a Gap counts, and is retried.
type Writer struct {
	cfg          atomic.Pointer[Config]
	nowMS        func() float64 // the router's clock; safe for use in any goroutine
	onDiskChange func(error)
	queue        chan Record
	done         chan struct{} // closed by Close
	finished     chan struct{} // closed by the goroutine
	dropped      atomic.Int64  // records that no Gap has counted yet
	droppedSince atomic.Int64  // when the first of them was dropped, in microseconds on the router's clock
	Counters     Counters

	// Of the goroutine alone.
	header      Header
	segment     segmentFile
	nextSegment uint64
	diskFailed  bool
	retryAt     time.Time
	buf         []byte
	buffered    int // records in buf
}

// StartWriter starts a writer, which Close ends. It calls onDiskChange in its goroutine: with an error when the disk
// begins to fail, and with nil when it works again.
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

// Configure changes the settings from the next segment on. The folder stays as it is.
func (w *Writer) Configure(cfg Config) {
	cfg.Dir = w.cfg.Load().Dir
	w.cfg.Store(&cfg)
}

// Put queues a record, which belongs to the writer from then on. It never blocks: a record that does not fit the
// queue is dropped and counted in a Gap.
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

// Close writes the queued records and ends the writer. It waits for that for at most closeTimeout.
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

// append adds a record to the buffer.
func (w *Writer) append(next Record) {
	buf, err := appendFrame(w.buf, next)
	if err != nil {
		w.countDropped(1)
		return
	}
	w.buf = buf
	w.buffered++
}

// appendQueued adds all records in the queue to the buffer.
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

// flush writes the buffer. While a failed disk is not due for a retry, the buffer is dropped and counted.
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

// reportDiskFailure records that the disk failed.
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

// write writes the buffer, and a Gap for the records that were dropped before, to the segment.
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

// prepareSegment ensures that an open segment has space for the buffer.
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
