package keeper

import "sync"

// notifier wakes all goroutines that wait for the next event.
type notifier struct {
	mu   sync.Mutex
	next chan struct{}
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// notify wakes those that wait on a channel that wait has returned so far.
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
