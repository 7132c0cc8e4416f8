package router

import "container/heap"

// Timer is a call set for later. Only the loop's goroutine may stop it.
type Timer struct {
	at       float64
	sequence uint64 // orders timers of the same time
	index    int    // in the heap; -1 once the timer has run or was stopped
	fn       func()
	loop     *Loop
}

// Stop stops the timer. It does nothing on a nil timer, or on one that has run or was stopped.
func (t *Timer) Stop() {
	if t == nil {
		return
	}
	t.fn = nil
	if t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// run calls the timer's function unless the timer was stopped.
func (t *Timer) run() {
	if fn := t.fn; fn != nil {
		t.fn = nil
		fn()
	}
}

// timerHeap is a heap.Interface with the next timer first.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

func (h *timerHeap) Pop() any {
	old := *h
	timer := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	timer.index = -1
	return timer
}
