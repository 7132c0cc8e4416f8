package dispatch

import "time"

// keyOrder runs requests with the same ordering key one after the other.
type keyOrder struct {
	env  *environment
	keys map[string]*orderedKey
}

// orderedKey holds the open requests of one key in the order of their arrival.
type orderedKey struct {
	requests []*request
	// cooldownEnd is the earliest start of the next request after one with an unclear outcome, which may still be
	// running.
	cooldownEnd time.Duration
}

func newKeyOrder(env *environment) *keyOrder {
	return &keyOrder{env: env, keys: map[string]*orderedKey{}}
}

// add appends a request to the earlier requests of its key, if its class is ordered.
func (o *keyOrder) add(req *request) {
	if !req.ordered {
		return
	}
	key := o.keys[req.key]
	if key == nil {
		key = &orderedKey{}
		o.keys[req.key] = key
	}
	key.requests = append(key.requests, req)
}

// remove removes a request, so that the next request of its key can start.
func (o *keyOrder) remove(req *request) {
	key := o.keys[req.key]
	if !req.ordered || key == nil {
		return
	}
	key.requests = removeItem(key.requests, req)
	if len(key.requests) == 0 && key.cooldownEnd <= o.env.now {
		delete(o.keys, req.key)
	}
}

// recordOutcome starts the cooldown of the key if the engine may still be running the attempt.
func (o *keyOrder) recordOutcome(req *request, outcome Outcome) {
	if !req.ordered || !outcome.mayStillRun() {
		return
	}
	key := o.keys[req.key]
	key.cooldownEnd = max(key.cooldownEnd, o.env.now+o.env.config.KeyCooldown)
}

// blocks reports whether a request has to wait for an earlier request or the cooldown of its key.
func (o *keyOrder) blocks(req *request) bool {
	if !req.ordered {
		return false
	}
	key := o.keys[req.key]
	if key == nil || key.requests[0] != req {
		return true
	}
	return len(req.attempts) == 0 && o.env.now < key.cooldownEnd
}
