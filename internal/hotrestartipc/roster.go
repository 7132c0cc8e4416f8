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
	rosterTimeout = 2 * time.Second
	// rosterRetryInterval is the time between two attempts to lock the roster.
	rosterRetryInterval = 10 * time.Millisecond
	// rosterSize is how much of the roster is read.
	rosterSize = 32
)

// errRosterLocked rejects a process while another one keeps the roster locked.
var errRosterLocked = errors.New("another process is acquiring its slot and does not finish")

// roster is the locked file that holds the greatest process number ever acquired: a number that was acquired again
// would be taken for the process that had it.
type roster struct{ file *os.File }

// lockRoster opens and locks the roster.
func lockRoster(path string) (*roster, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(rosterTimeout)
	for {
		err := flock(file, syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return &roster{file}, nil
		}
		if time.Now().After(deadline) {
			_ = file.Close()
			return nil, fmt.Errorf("%s: %w: %w", path, errRosterLocked, err)
		}
		time.Sleep(rosterRetryInterval)
	}
}

// last returns the greatest number ever acquired; 0 where none was.
func (r *roster) last() hotrestart.ProcessNumber {
	text := make([]byte, rosterSize)
	n, _ := r.file.ReadAt(text, 0)
	number, ok := parseProcessNumber(strings.TrimSpace(string(text[:n])))
	if !ok {
		return hotrestart.NoProcess
	}
	return number
}

// setLast stores the greatest number acquired.
func (r *roster) setLast(number hotrestart.ProcessNumber) error {
	_, err := r.file.WriteAt(fmt.Appendf(nil, "%-20d\n", number), 0)
	return err
}

// unlock closes the roster, which unlocks it.
func (r *roster) unlock() { _ = r.file.Close() }
