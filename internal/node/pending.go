package node

import "windflow/internal/router"

// pendingReplies holds the requests to the other process of this router that wait for its reply.
type pendingReplies[T any] struct {
	loop       *router.Loop
	lastNumber int
	waiting    map[int]func(T) // by number of the request
}

func newPendingReplies[T any](loop *router.Loop) pendingReplies[T] {
	return pendingReplies[T]{loop: loop, waiting: map[int]func(T){}}
}

// add registers a request and returns its number. done is called once in the event loop: with the reply, or with
// timedOut if there is none within timeoutMS.
func (p *pendingReplies[T]) add(timeoutMS float64, timedOut T, done func(T)) (number int) {
	p.lastNumber++
	number = p.lastNumber
	var timeout *router.Timer
	p.waiting[number] = func(reply T) {
		delete(p.waiting, number)
		timeout.Stop()
		done(reply)
	}
	timeout = p.loop.After(timeoutMS, func() { p.resolve(number, timedOut) })
	return number
}

// resolve passes a reply to the request of that number. It ignores a reply to a request that has ended.
func (p *pendingReplies[T]) resolve(number int, reply T) {
	if done := p.waiting[number]; done != nil {
		done(reply)
	}
}

// resolveAll ends all requests with the same reply. It is called when the other process can no longer reply.
func (p *pendingReplies[T]) resolveAll(reply T) {
	for _, done := range p.waiting {
		done(reply)
	}
}
