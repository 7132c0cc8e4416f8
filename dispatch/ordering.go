package dispatch

import "time"

// keyOrder runs requests of the same ordering key one after the other.
type keyOrder struct {
	env  *environment
	keys map[string]*orderedKey
}

// orderedKey holds the open requests of one key in their order.
type orderedKey struct {
	requests []*request
	// cooldownEnd is when the next request may start after one whose outcome is unclear: it may still run.
	cooldownEnd time.Duration
}

func newKeyOrder(env *environment) *keyOrder {
	return &keyOrder{env: env, keys: map[string]*orderedKey{}}
}

// add puts a request behind the earlier ones of its key, if its class is ordered.
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

// remove lets the next request of the key proceed.
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

// recordOutcome starts the key's cooldown where the engine may continue running the attempt.
func (o *keyOrder) recordOutcome(req *request, outcome Outcome) {
	if !req.ordered || !outcome.mayStillRun() {
		return
	}
	key := o.keys[req.key]
	key.cooldownEnd = max(key.cooldownEnd, o.env.now+o.env.config.KeyCooldown)
}

// blocks reports whether a request has to wait for its key.
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
