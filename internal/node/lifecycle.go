package node

import "sync"

// lifecycle ends the process's event loop once, and keeps the error for which the process can't serve, if there is one.
type lifecycle struct {
	done chan struct{} // closed at the end of the loop
	once sync.Once
	err  error // belongs to the loop while that runs
}

func newLifecycle() *lifecycle { return &lifecycle{done: make(chan struct{})} }

// stop ends the loop; later calls do nothing.
func (l *lifecycle) stop() { l.once.Do(func() { close(l.done) }) }

// fail ends a process that can't serve.
func (l *lifecycle) fail(err error) {
	l.err = err
	l.stop()
}

func (l *lifecycle) failed() bool { return l.err != nil }
