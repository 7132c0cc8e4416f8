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
	// rosterTimeout bounds the wait for another process that is acquiring its slot.
	counterLockTimeout = 2 * time.Second
	// rosterRetryInterval is the time between two attempts to lock the roster.
	counterRetryInterval = 10 * time.Millisecond
	// rosterSize is how much of the roster is read.
	counterFileSize = 32
)

// errRosterLocked rejects a process while another one keeps the roster locked.
var errCounterLocked = errors.New("another process is acquiring its slot and does not finish")

// roster is the locked file that holds the greatest process number ever acquired: a number that was acquired again
// would be taken for the process that had it.
type processCounter struct{ file *os.File }

// lockRoster opens and locks the roster.
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
			return nil, fmt.Errorf("%s: %w: %w", path, errCounterLocked, err)
		}
		time.Sleep(counterRetryInterval)
	}
}

// last returns the greatest number ever acquired; 0 where none was.
func (c *processCounter) last() hotrestart.ProcessNumber {
	text := make([]byte, counterFileSize)
	n, _ := c.file.ReadAt(text, 0)
	number, ok := parseProcessNumber(strings.TrimSpace(string(text[:n])))
	if !ok {
		return hotrestart.NoProcess
	}
	return number
}

// setLast stores the greatest number acquired.
func (c *processCounter) setLast(number hotrestart.ProcessNumber) error {
	_, err := c.file.WriteAt(fmt.Appendf(nil, "%-20d\n", number), 0)
	return err
}

// unlock closes the roster, which unlocks it.
func (c *processCounter) unlock() { _ = c.file.Close() }
