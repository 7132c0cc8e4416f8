package router

import (
	"container/heap"
	"sync"
	"time"

	"windflow/internal/clock"
)

// Loop runs everything that touches state, one step after the other, in one goroutine: what other
// goroutines post, then the timers that are due, then Settle. Nothing in a step may block.
type Loop struct {
	// Settle runs at the end of each step, when all that was ready has been gathered.
	AfterStep func()
	// Behind, where it is set, is called when the loop finds that it stood still: with the whole process, as a rule, so that
	// what came meanwhile has not been posted yet. It has caughtUp called, from any goroutine, once that is done. Until then
	// no timer runs: an answer that has come is not to be taken for one that did not.
	OnStall func(caughtUp func())

	clock  clock.Clock
	timers timerHeap
	due    []*Timer // of the step at hand
	seq    uint64
	heldTo float64 // when timers run again at the latest; 0: they do
	heard  float64 // when the loop had last caught up, or given that up

	mu    sync.Mutex
	inbox []func()
	spare []func()
	wake  chan struct{}
}

const (
	// stoodStill is how late a timer has to be, in milliseconds, for the loop to count as having stood still.
	stoodStill = 400.0
	// catchUp bounds how long timers wait then, in milliseconds.
	catchUp = 200.0
)

// NewLoop returns a loop on that clock.
func NewLoop(c clock.Clock) *Loop {
	return &Loop{clock: c, wake: make(chan struct{}, 1), AfterStep: func() {}}
}

// Now is the loop's time in milliseconds.
func (l *Loop) Now() float64 { return l.clock.Now() }

// Post has f run in the loop's goroutine, after what was posted before it. It never blocks and may be
// called from anywhere.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Timer is a call set for later; only the loop's goroutine may stop it.
type Timer struct {
	at    float64
	seq   uint64
	index int // -1 once it has run or was stopped
	f     func()
	loop  *Loop
}

// Stop takes the timer back; a nil or spent timer is left alone.
func (t *Timer) Stop() {
	if t == nil {
		return
	}
	if t.f = nil; t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// At has f run in the loop's goroutine once the clock shows ms.
func (l *Loop) At(ms float64, f func()) *Timer {
	l.seq++
	t := &Timer{at: ms, seq: l.seq, f: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// After has f run once ms milliseconds have passed.
func (l *Loop) After(ms float64, f func()) *Timer { return l.At(l.Now()+ms, f) }

// PendingTimers is the number of calls that are set for later; it is asked in the loop's goroutine.
func (l *Loop) PendingTimers() int { return len(l.timers) }

// Step runs all that is posted and due, then Settle, and tells whether there was anything to do.
func (l *Loop) Step() bool {
	l.mu.Lock()
	ready := l.inbox
	l.inbox = l.spare[:0]
	l.mu.Unlock()
	for i, f := range ready {
		f()
		ready[i] = nil
	}
	l.spare = ready
	did := len(ready) > 0
	// Timers that are set meanwhile wait for the next step, also where they are due: one that sets itself anew for a time that
	// has passed would hold the loop for ever.
	due := l.due[:0]
	for now := l.Now(); len(l.timers) > 0 && l.timers[0].at <= now && !l.held(now); did = true {
		due = append(due, heap.Pop(&l.timers).(*Timer))
	}
	for i, t := range due {
		if f := t.f; f != nil { // else it was stopped meanwhile
			t.f = nil
			f()
		}
		due[i] = nil
	}
	l.due = due
	if did {
		l.AfterStep()
	}
	return did
}

// held tells whether timers that are due have to wait, since the loop stood still and what came meanwhile is on its way.
func (l *Loop) held(now float64) bool {
	switch {
	case l.heldTo > now:
		return true
	case l.heldTo > 0:
		l.heldTo, l.heard = 0, now // it never said so
	case l.OnStall != nil && now-max(l.timers[0].at, l.heard) > stoodStill:
		l.heldTo = now + catchUp
		l.OnStall(func() {
			l.Post(func() { l.heldTo, l.heard = 0, l.Now() })
		})
		return true
	}
	return false
}

// Run steps until stop is closed.
func (l *Loop) Run(stop <-chan struct{}) {
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if l.Step() {
			continue
		}
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = max(clock.Duration(max(l.timers[0].at, l.heldTo)-l.Now()), 0)
		}
		sleep.Reset(wait)
		select {
		case <-stop:
			return
		case <-l.wake:
		case <-sleep.C:
		}
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
