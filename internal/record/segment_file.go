package record

import (
	"os"
	"time"
)

// segmentFile is the open segment of a Writer. It has no open file before the first write, after a failed write, and
// after the segment was closed.
type segmentFile struct {
	file *os.File
	size int64
}

// closeIfFull closes the segment if it has at least limit bytes.
func (s *segmentFile) closeIfFull(limit float64) error {
	if s.file == nil || float64(s.size) < limit {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return err
	}
	s.file = nil
	return nil
}

// closeIfReplaced closes the segment if its path no longer refers to the open file. This happens when the file was
// deleted, or another file system was mounted over its folder: nobody could read the records written to it.
func (s *segmentFile) closeIfReplaced() error {
	if s.file == nil {
		return nil
	}
	open, err := s.file.Stat()
	if err != nil {
		return err
	}
	if atPath, err := os.Stat(s.file.Name()); err != nil || !os.SameFile(open, atPath) {
		s.close()
	}
	return nil
}

// create deletes old segments, creates a new one and writes its header. If the header can't be written, the new file is
// removed.
func (s *segmentFile) create(cfg *Config, header *Header) error {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return err
	}
	path := segmentPath(cfg.Dir, header)
	deleteOldSegments(cfg, time.Now())
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	frame, err := appendFrame(nil, header)
	if err == nil {
		_, err = file.Write(frame)
	}
	if err != nil {
		_ = file.Close()
		_ = os.Remove(path)
		return err
	}
	s.file, s.size = file, int64(len(frame))
	return nil
}

// write appends frames to the segment and returns the number of bytes written.
func (s *segmentFile) write(frames []byte) (n int, err error) {
	n, err = s.file.Write(frames)
	s.size += int64(n)
	return n, err
}

// close closes the segment if it is open. Errors are ignored.
func (s *segmentFile) close() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
