package hotrestartipc

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// cordonFolder stores the cordons of a router as empty files, each with the name of an engine, in a folder that all
// processes of the router read. So a cordon also applies to a process that starts while the process that received the
// cordon from the operator hangs.
type cordonFolder string

// set stores whether an engine is cordoned. Storing the same value twice is not an error.
func (f cordonFolder) set(engine string, cordoned bool) error {
	path := filepath.Join(string(f), engine)
	if !cordoned {
		err := os.Remove(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}
	if err := os.MkdirAll(string(f), 0o700); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	return file.Close()
}

// list returns the cordoned engines.
func (f cordonFolder) list() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var engines []string
	for _, entry := range entries {
		engines = append(engines, entry.Name())
	}
	return engines, err
}

// clear removes all cordons.
func (f cordonFolder) clear() { _ = os.RemoveAll(string(f)) }
