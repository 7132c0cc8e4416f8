package node

import "sync"

// lifecycle ends the process's event loop. If the process can't serve, it keeps the error that states why.
type lifecycle struct {
	done chan struct{} // closed to end the loop
	once sync.Once
	err  error // accessed by the loop only, while it runs
}

func newLifecycle() *lifecycle { return &lifecycle{done: make(chan struct{})} }

// stop ends the event loop. Further calls have no effect.
func (l *lifecycle) stop() { l.once.Do(func() { close(l.done) }) }

// fail records why the process can't serve and ends the event loop.
func (l *lifecycle) fail(err error) {
	l.err = err
	l.stop()
}

func (l *lifecycle) failed() bool { return l.err != nil }
