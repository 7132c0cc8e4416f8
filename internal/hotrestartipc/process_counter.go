package hotrestartipc

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"windflow/internal/decide/hotrestart"
)

const (
	// counterLockTimeout limits the wait for another process that is acquiring its slot.
	counterLockTimeout = 2 * time.Second
	// counterRetryInterval is the time between two attempts to lock the counter file.
	counterRetryInterval = 10 * time.Millisecond
	// counterFileSize is how many bytes of the counter file are read.
	counterFileSize = 32
)

// errCounterLocked is returned when another process keeps the counter file locked for too long.
var errCounterLocked = errors.New("process counter is locked by another process that is acquiring its slot")

// processCounter is the locked file with the highest process number ever acquired. Numbers must not be used again: a
// new process with the number of an ended one would be mistaken for it.
type processCounter struct{ file *os.File }

// lockProcessCounter opens the counter file and locks it.
func lockProcessCounter(path string) (*processCounter, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(counterLockTimeout)
	for {
		err := flock(file, syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return &processCounter{file}, nil
		}
		if time.Now().After(deadline) {
			_ = file.Close()
			return nil, fmt.Errorf("%s: %w: no lock after %v: %w", path, errCounterLocked, counterLockTimeout, err)
		}
		time.Sleep(counterRetryInterval)
	}
}

// last returns the highest number ever acquired, or NoProcess if the file holds none.
func (c *processCounter) last() hotrestart.ProcessNumber {
	text := make([]byte, counterFileSize)
	n, _ := c.file.ReadAt(text, 0)
	number, ok := parseProcessNumber(strings.TrimSpace(string(text[:n])))
	if !ok {
		return hotrestart.NoProcess
	}
	return number
}

// setLast stores the highest number acquired.
func (c *processCounter) setLast(number hotrestart.ProcessNumber) error {
	_, err := c.file.WriteAt(fmt.Appendf(nil, "%-20d\n", number), 0)
	return err
}

// unlock closes the file, which releases its lock.
func (c *processCounter) unlock() { _ = c.file.Close() }
