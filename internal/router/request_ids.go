package router

// IDChange is a change of the status of a request id. Each process of a hot restart sends its changes to the other.
type IDChange struct {
	ID     string   `json:"id"`
	Status IDStatus `json:"what"`
}

// IDStatus is the status of a request id.
type IDStatus int

// Statuses of a request id.
const (
	IDOpen     IDStatus = iota // the request is open
	IDDone                     // the request was answered or abandoned
	IDConsumed                 // the at-most-once request may have run
	IDReleased                 // the at-most-once request is proven not to have run
)

// requestIDs holds the ids that a new request must not use, apart from the ids of open requests: ids of at-most-once
// requests that may have run, and ids that are open in the other process of a hot restart.
type requestIDs struct {
	consumed     consumedIDs
	otherProcess map[string]bool // ids open in the other process
	hooks        *Hooks
}

func newRequestIDs(hooks *Hooks) *requestIDs {
	return &requestIDs{
		consumed:     consumedIDs{index: map[string]int{}},
		otherProcess: map[string]bool{},
		hooks:        hooks,
	}
}

// inUse reports whether an id is consumed or open in the other process.
func (r *requestIDs) inUse(id string) bool { return r.otherProcess[id] || r.consumed.has(id) }

// publish calls OnIDChange with a change of an id of this process.
func (r *requestIDs) publish(id string, status IDStatus) {
	if r.hooks.OnIDChange != nil {
		r.hooks.OnIDChange(IDChange{ID: id, Status: status})
	}
}

// consume marks the id of an at-most-once request that may run from now on.
func (r *requestIDs) consume(id string) {
	r.consumed.add(id)
	r.publish(id, IDConsumed)
}

// release makes the id of a request that is proven not to have run available again.
func (r *requestIDs) release(id string) {
	if r.consumed.has(id) {
		r.publish(id, IDReleased)
	}
	r.consumed.remove(id)
}

// grant consumes an id that the other process claims. It returns false if the id was consumed already. It does not
// publish the change, because the other process gets the reply to its claim.
func (r *requestIDs) grant(id string) bool {
	if r.consumed.has(id) {
		return false
	}
	r.consumed.add(id)
	return true
}

// consumedIDs returns the ids of requests that may have run, the oldest first.
func (r *requestIDs) consumedIDs() []string { return r.consumed.list() }

// otherProcessEnded removes the ids that were open in the other process.
func (r *requestIDs) otherProcessEnded() { clear(r.otherProcess) }

// applyChange applies a change that the other process published.
func (r *requestIDs) applyChange(change IDChange) {
	switch change.Status {
	case IDOpen:
		r.otherProcess[change.ID] = true
	case IDDone:
		delete(r.otherProcess, change.ID)
	case IDConsumed:
		r.consumed.add(change.ID)
	case IDReleased:
		r.consumed.remove(change.ID)
	}
}

// restore applies the ids of another process's state. The open ids replace those of an earlier state; the consumed ids
// are added.
func (r *requestIDs) restore(open, consumed []string) {
	r.otherProcessEnded()
	for _, id := range open {
		r.otherProcess[id] = true
	}
	for _, id := range consumed {
		r.consumed.add(id)
	}
}
