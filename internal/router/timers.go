package router

import "container/heap"

// Timer runs a function at a set time, once, in the loop's goroutine. It may only be stopped in that goroutine.
type Timer struct {
	at       float64
	sequence uint64 // orders timers that are set for the same time
	index    int    // position in the heap; -1 if the timer has run or was stopped
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

// run calls the timer's function, unless an earlier timer of the same step has stopped the timer.
func (t *Timer) run() {
	if fn := t.fn; fn != nil {
		t.fn = nil
		fn()
	}
}

// timerHeap is a heap.Interface with the earliest timer first.
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
