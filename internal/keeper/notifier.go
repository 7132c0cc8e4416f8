package keeper

import "sync"

// notifier wakes all goroutines that wait for the next event. It is safe for concurrent use.
type notifier struct {
	mu   sync.Mutex
	next chan struct{}
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// notify closes the channel that wait has returned since the previous event.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.next)
	n.next = make(chan struct{})
}

// wait returns a channel that is closed at the next event.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}
