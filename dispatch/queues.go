package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// maxReleaseRatio is Rmax of the delay-ratio control (see the package comment). The field experiment with that
	// control used 7:1.
	maxReleaseRatio = 7.0
	// deferFactor is the multiple of the expected time that has to be left before the objective; a queued request with
	// less time is deferred. A request that starts too late earns little and slows down those that can meet their
	// objective.
	deferFactor = 2.0
	// heavyFactor is the multiple of its class's mean work from which a queued request is deferred. In a shortage it
	// would make several other requests miss their objective.
	heavyFactor = 2.0
	// maxReleaseTries is the number of requests of one queue that are tried before the queue is skipped.
	maxReleaseTries = 3
)

// classQueue holds the queued requests of one class in first-come, first-served order.
type classQueue struct {
	class    *class
	ready    []*request
	deferred []*request // over quota, heavy or too late: released when no queue has a ready request
}

// listOf returns the list of the queue that a request belongs to.
func (q *classQueue) listOf(req *request) *[]*request {
	if req.deferred {
		return &q.deferred
	}
	return &q.ready
}

// classQueues queues requests by class and releases them by the delay-ratio rule.
type classQueues struct {
	classes *classSet
	queues  []*classQueue // in the order of the configured classes
	length  int           // number of queued requests
	limit   int           // number of queued requests above which requests that miss their objective are rejected
	// otherProcessLength is the number of requests that the other process of this router has queued during a hot
	// restart.
	otherProcessLength int
	// credit is the number of releases left in the current round of the ratio rule. creditToPreferred says whether the
	// preferred class gets all releases of the round except the last one, or only the last one.
	credit            int
	creditToPreferred bool
}

func newClassQueues(classes *classSet) *classQueues {
	q := &classQueues{classes: classes, limit: math.MaxInt}
	for _, k := range classes.all {
		q.queues = append(q.queues, &classQueue{class: k})
	}
	return q
}

// setLimit sets the configured limit; 0 means none. Requests queued by the other process count towards it.
func (q *classQueues) setLimit(configured int) {
	q.limit = math.MaxInt
	if configured > 0 {
		q.limit = max(configured-q.otherProcessLength, 0)
	}
}

// len returns the number of queued requests.
func (q *classQueues) len() int { return q.length }

// setOtherProcessLength sets the number of requests that the other process of this router has queued.
func (q *classQueues) setOtherProcessLength(n, configuredLimit int) {
	q.otherProcessLength = max(n, 0)
	q.setLimit(configuredLimit)
}

func (q *classQueues) overLimit() bool { return q.length > q.limit }

func (q *classQueues) queueOf(k *class) *classQueue {
	i := slices.IndexFunc(q.queues, func(queue *classQueue) bool { return queue.class == k })
	return q.queues[i]
}

// noneReady reports whether a class has no ready request in its queue.
func (q *classQueues) noneReady(k *class) bool { return len(q.queueOf(k).ready) == 0 }

// push adds a request to its queue, at the front or at the end.
func (q *classQueues) push(req *request, front bool) {
	q.length++
	req.queued = true
	list := q.queueOf(req.class).listOf(req)
	if front {
		*list = slices.Insert(*list, 0, req)
	} else {
		*list = append(*list, req)
	}
}

// remove removes a request from its queue if it is queued.
func (q *classQueues) remove(req *request) {
	if !req.queued {
		return
	}
	req.queued = false
	q.length--
	list := q.queueOf(req.class).listOf(req)
	*list = removeItem(*list, req)
}

// release starts queued requests by the ratio rule as long as start succeeds for one of them. It passes over requests
// for which blocked returns true.
func (q *classQueues) release(now time.Duration, blocked, start func(*request) bool) {
	if q.length == 0 {
		return
	}
	pass := &releasePass{classQueues: q, now: now, skipped: map[*classQueue]bool{}, blocked: blocked, start: start}
	pass.run()
}

// releasePass is one run of releasing queued requests.
type releasePass struct {
	*classQueues
	now     time.Duration
	skipped map[*classQueue]bool // queues from which no request can be started in this run
	blocked func(*request) bool
	start   func(*request) bool
}

func (p *releasePass) run() {
	for queue := p.next(); queue != nil; queue = p.next() {
		if !p.releaseFirst(queue.ready) {
			p.skipped[queue] = true
			p.credit = 0
		}
	}
}

// releaseFirst starts the first request of a list that can be started, and reports whether there was one.
func (p *releasePass) releaseFirst(list []*request) bool {
	tries := 0
	for _, req := range list {
		if p.blocked(req) {
			continue
		}
		if p.start(req) {
			return true
		}
		tries++
		if tries >= maxReleaseTries {
			return false
		}
	}
	return false
}

// next returns the queue to release from. If no ready request is left, it releases the deferred requests and returns
// nil. Let q1 be the number of ready preferred requests, q2 the number of others and R the mean objective ratio of the
// others. If q1 R >= q2, ceil(q1 R/q2) preferred requests are released for each other request, else ceil(q2/(q1 R))
// other requests for each preferred one, in both cases at most Rmax. If one side is empty, all releases go to the other
// side.
func (p *releasePass) next() *classQueue {
	preferred, others, weighted := p.lengths()
	switch {
	case preferred+others == 0:
		p.releaseDeferred()
		return nil
	case others == 0:
		return p.queueOf(p.classes.preferred)
	case preferred == 0:
		return p.longestWaiting()
	}
	if p.credit <= 0 {
		releases, forPreferred := releaseRatio(preferred, others, weighted/others)
		p.credit = releases + 1
		p.creditToPreferred = forPreferred
	}
	p.credit--
	if (p.credit > 0) == p.creditToPreferred {
		return p.queueOf(p.classes.preferred)
	}
	return p.longestWaiting()
}

// lengths returns the number of ready requests of the preferred class, the number of the others, and the latter
// weighted by the objective ratio of their class.
func (p *releasePass) lengths() (preferred, others, weighted float64) {
	for _, queue := range p.queues {
		n := float64(len(queue.ready))
		switch {
		case p.skipped[queue]:
		case queue.class == p.classes.preferred:
			preferred = n
		default:
			others += n
			weighted += n * queue.class.objectiveRatio
		}
	}
	return preferred, others, weighted
}

// releaseRatio returns how many requests of one side are released for each request of the other side, and whether the
// former are preferred requests.
func releaseRatio(preferred, others, ratio float64) (releases int, forPreferred bool) {
	if preferred*ratio >= others {
		return int(min(math.Ceil(preferred*ratio/others), maxReleaseRatio)), true
	}
	return int(min(math.Ceil(others/(preferred*ratio)), maxReleaseRatio)), false
}

// longestWaiting returns the queue, other than the preferred one, whose first request has waited longest relative to
// its latency objective.
func (p *releasePass) longestWaiting() *classQueue {
	var longest *classQueue
	longestShare := -1.0
	for _, queue := range p.queues {
		if queue.class == p.classes.preferred || p.skipped[queue] || len(queue.ready) == 0 {
			continue
		}
		head := queue.ready[0]
		share := (p.now - head.arrivedAt).Seconds() / (head.objective - head.arrivedAt).Seconds()
		if share > longestShare {
			longest, longestShare = queue, share
		}
	}
	return longest
}

// releaseDeferred releases deferred requests from the queues that have no ready request. It is called when no ready
// request is left to release.
func (p *releasePass) releaseDeferred() {
	for _, queue := range p.queues {
		if len(queue.deferred) == 0 || p.skipped[queue] || len(queue.ready) > 0 {
			continue
		}
		for p.releaseFirst(queue.deferred) {
			// each call releases one request
		}
		p.skipped[queue] = true
	}
}
