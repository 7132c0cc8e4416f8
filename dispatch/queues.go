package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// maxReleaseRatio is Rmax of the delay-ratio control (see the package comment); its field experiment used 7:1.
	maxReleaseRatio = 7.0
	// deferFactor is the multiple of the expected time past which a queued request is deferred: what is started too
	// late earns little and slows those in time.
	deferFactor = 2.0
	// heavyFactor is the work over the class's mean from which a queued request is deferred: in a shortage, it would
	// cost several others their objective.
	heavyFactor = 2.0
	// maxReleaseTries is how many requests of one queue are tried before the queue counts as blocked.
	maxReleaseTries = 3
)

// classQueue holds the queued requests of one class, first come, first served.
type classQueue struct {
	class    *class
	ready    []*request
	deferred []*request // over quota, heavy, or past their objective: released when no queue has a ready one
}

// listOf is the list that a request belongs to.
func (q *classQueue) listOf(req *request) *[]*request {
	if req.deferred {
		return &q.deferred
	}
	return &q.ready
}

// classQueues queues requests by class and releases them by the delay-ratio rule.
type classQueues struct {
	classes *classSet
	queues  []*classQueue // in the order of the classes
	length  int           // queued requests
	limit   int           // requests queued before those that miss their objective are rejected
	// otherLength is how many requests the other process of this router has queued during a hot restart.
	otherProcessLength int
	// credit is how many releases are left to the side that the ratio rule chose.
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

// setLimit sets the limit of the settings; 0 means none. The other process's queue counts towards it.
func (q *classQueues) setLimit(configured int) {
	q.limit = math.MaxInt
	if configured > 0 {
		q.limit = max(configured-q.otherProcessLength, 0)
	}
}

// len is the number of queued requests.
func (q *classQueues) len() int { return q.length }

// setOtherLength takes how many requests the other process of this router has queued.
func (q *classQueues) setOtherProcessLength(n, configuredLimit int) {
	q.otherProcessLength = max(n, 0)
	q.setLimit(configuredLimit)
}

func (q *classQueues) overLimit() bool { return q.length > q.limit }

func (q *classQueues) queueOf(k *class) *classQueue {
	i := slices.IndexFunc(q.queues, func(queue *classQueue) bool { return queue.class == k })
	return q.queues[i]
}

// isEmpty reports whether no ready request of a class is queued.
func (q *classQueues) isEmpty(k *class) bool { return len(q.queueOf(k).ready) == 0 }

// push queues a request: at the end, or in front.
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

// remove takes a request out of its queue, if it is in one.
func (q *classQueues) remove(req *request) {
	if !req.queued {
		return
	}
	req.queued = false
	q.length--
	list := q.queueOf(req.class).listOf(req)
	*list = removeItem(*list, req)
}

// release starts queued requests by the ratio rule for as long as start can start one. Requests that blocked keeps
// queued are passed over.
func (q *classQueues) release(now time.Duration, blocked, start func(*request) bool) {
	if q.length == 0 {
		return
	}
	pass := &releasePass{classQueues: q, now: now, skipped: map[*classQueue]bool{}, blocked: blocked, start: start}
	pass.run()
}

// releasePass is one release of queued requests.
type releasePass struct {
	*classQueues
	now     time.Duration
	skipped map[*classQueue]bool // queues from which no request can be started now
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

// releaseFirst starts the first request of a list that can be started.
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

// next picks the queue to release from; nil means that no more can be released. With q1 preferred and q2 other requests
// queued: when q1 R >= q2, ceil(q1 R/q2) preferred ones go for each other one, else ceil(q2/(q1 R)) others for each
// preferred one, at most Rmax; one empty side leaves all releases to the other.
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

// lengths counts the ready requests of the preferred class and of the others, and the latter weighted by their ratio.
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

// releaseRatio is how many of one side go for each of the other, and whether the many are preferred ones.
func releaseRatio(preferred, others, ratio float64) (releases int, forPreferred bool) {
	if preferred*ratio >= others {
		return int(min(math.Ceil(preferred*ratio/others), maxReleaseRatio)), true
	}
	return int(min(math.Ceil(others/(preferred*ratio)), maxReleaseRatio)), false
}

// longestWaiting is the queue of the class, not the preferred one, whose first request has waited longest against its
// objective.
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

// releaseDeferred releases deferred requests, when no other one is left to release.
func (p *releasePass) releaseDeferred() {
	for _, queue := range p.queues {
		if len(queue.deferred) == 0 || p.skipped[queue] || len(queue.ready) > 0 {
			continue
		}
		for p.releaseFirst(queue.deferred) {
			// each call releases one more
		}
		p.skipped[queue] = true
	}
}
