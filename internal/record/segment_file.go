package record

import (
	"os"
	"time"
)

// segmentFile is the segment that a Writer writes to; it has none before the first write and after a failed one.
type segmentFile struct {
	file *os.File
	size int64
}

// closeIfFull closes a segment of at least that many bytes.
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

// closeIfReplaced closes a segment whose path no longer leads to it: records in a file that was deleted, or in a
// folder that was mounted over, could be read by nobody.
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

// create begins a new segment with its header, after the deletion of old ones.
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

// write appends frames and returns how many bytes of them were written.
func (s *segmentFile) write(frames []byte) (n int, err error) {
	n, err = s.file.Write(frames)
	s.size += int64(n)
	return n, err
}

// close closes the segment, if there is one.
func (s *segmentFile) close() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
