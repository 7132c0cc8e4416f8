package router

// IDChange is a change of the status of a client's request id, for another process of the same router.
type IDChange struct {
	ID     string   `json:"id"`
	Status IDStatus `json:"what"`
}

// IDStatus is the status of a request id.
type IDStatus int

// Statuses of a request id.
const (
	IDOpen     IDStatus = iota // the request is open
	IDDone                     // the request is answered or abandoned
	IDConsumed                 // the at-most-once request may have run
	IDReleased                 // the at-most-once request is proven not to have run
)

// requestIDs knows the ids that no new request may use besides those of open requests: ids of at-most-once requests
// that may have run, and ids that are open in the other process of a hot restart.
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

// inUse reports whether an id is consumed here or open in the other process.
func (d *requestIDs) inUse(id string) bool { return d.otherProcess[id] || d.consumed.has(id) }

// publish passes a change of this process's ids on.
func (d *requestIDs) publish(id string, status IDStatus) {
	if d.hooks.OnIDChange != nil {
		d.hooks.OnIDChange(IDChange{ID: id, Status: status})
	}
}

// consume marks the id of a request that may run from now on.
func (d *requestIDs) consume(id string) {
	d.consumed.add(id)
	d.publish(id, IDConsumed)
}

// release frees an id whose request is proven not to have run.
func (d *requestIDs) release(id string) {
	if d.consumed.has(id) {
		d.publish(id, IDReleased)
	}
	d.consumed.remove(id)
}

// grant consumes an id that the other process claims, unless it is consumed already. The other process knows of it, so
// the change is not published.
func (d *requestIDs) grant(id string) bool {
	if d.consumed.has(id) {
		return false
	}
	d.consumed.add(id)
	return true
}

// consumedIDs returns the ids of requests that may have run, the oldest first.
func (d *requestIDs) consumedIDs() []string { return d.consumed.list() }

// otherProcessEnded forgets the ids that were open in the other process.
func (d *requestIDs) otherProcessEnded() { clear(d.otherProcess) }

// applyChange applies a change that the other process published.
func (d *requestIDs) applyChange(change IDChange) {
	switch change.Status {
	case IDOpen:
		d.otherProcess[change.ID] = true
	case IDDone:
		delete(d.otherProcess, change.ID)
	case IDConsumed:
		d.consumed.add(change.ID)
	case IDReleased:
		d.consumed.remove(change.ID)
	}
}

// restore takes the ids of another process's state; its open ids replace those of an earlier state.
func (d *requestIDs) restore(open, consumed []string) {
	d.otherProcessEnded()
	for _, id := range open {
		d.otherProcess[id] = true
	}
	for _, id := range consumed {
		d.consumed.add(id)
	}
}
