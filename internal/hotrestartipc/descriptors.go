package hotrestartipc

import (
	"os"
	"syscall"
)

// receivedFileName is the name given to files received from another process.
const receivedFileName = "handed over"

// descriptorSize is the size in bytes of a descriptor in a control message.
const descriptorSize = 4

// controlSpace returns the size in bytes of a control message that carries the given number of descriptors.
func controlSpace(files int) int { return syscall.CmsgSpace(descriptorSize * files) }

// withDescriptor calls use with the descriptor of a file. It does not use File.Fd, which may set the descriptor to
// blocking mode, and with it the socket in all processes that share it.
func withDescriptor(file *os.File, use func(fd int) error) error {
	raw, err := file.SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	if err := raw.Control(func(fd uintptr) { useErr = use(int(fd)) }); err != nil {
		return err
	}
	return useErr
}

// duplicate returns a file with a duplicate of the given file's descriptor.
func duplicate(file *os.File) (*os.File, error) {
	duplicated := -1
	err := withDescriptor(file, func(fd int) (err error) {
		duplicated, err = syscall.Dup(fd)
		return err
	})
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(duplicated)
	return os.NewFile(uintptr(duplicated), file.Name()), nil
}

// duplicateAll duplicates all files, or none if one of them fails.
func duplicateAll(files []*os.File) ([]*os.File, error) {
	duplicates := make([]*os.File, 0, len(files))
	for _, file := range files {
		duplicated, err := duplicate(file)
		if err != nil {
			closeAll(duplicates)
			return nil, err
		}
		duplicates = append(duplicates, duplicated)
	}
	return duplicates, nil
}

// descriptorsOf returns the descriptors of files. They are valid while the files are open.
func descriptorsOf(files []*os.File) ([]int, error) {
	var descriptors []int
	for _, file := range files {
		err := withDescriptor(file, func(fd int) error {
			descriptors = append(descriptors, fd)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return descriptors, nil
}

// receivedFiles returns the files whose descriptors a control message carries.
func receivedFiles(control []byte) (files []*os.File) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for _, message := range messages {
		descriptors, err := syscall.ParseUnixRights(&message)
		if err != nil {
			continue
		}
		for _, fd := range descriptors {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), receivedFileName))
		}
	}
	return files
}

func closeAll(files []*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}

// flock applies a lock operation of flock(2) to a file and retries if a signal interrupts it.
func flock(file *os.File, operation int) error {
	return withDescriptor(file, func(fd int) error {
		for {
			if err := syscall.Flock(fd, operation); err != syscall.EINTR {
				return err
			}
		}
	})
}
