package router

// consumedIDs is a ring buffer of the ids of the latest at-most-once requests that may have run. They must not be used
// again: if a client sends such an id a second time, an engine could run the request twice.
type consumedIDs struct {
	index map[string]int // position of each id in ids
	ids   [maxConsumedIDs]string
	next  int // position in ids of the next id to store
}

// maxConsumedIDs is the maximum number of stored ids. It is enough for some minutes of at-most-once requests.
const maxConsumedIDs = 4096

func (c *consumedIDs) has(id string) bool {
	_, ok := c.index[id]
	return ok
}

// add stores an id, in place of the oldest one if the buffer is full. It does nothing if the id is stored already.
func (c *consumedIDs) add(id string) {
	if c.has(id) {
		return
	}
	c.remove(c.ids[c.next])
	c.ids[c.next], c.index[id] = id, c.next
	c.next = (c.next + 1) % maxConsumedIDs
}

// remove deletes an id whose request is proven never to have run.
func (c *consumedIDs) remove(id string) {
	if i, ok := c.index[id]; ok {
		c.ids[i] = ""
		delete(c.index, id)
	}
}

// list returns the ids, the oldest first.
func (c *consumedIDs) list() []string {
	var ids []string
	for i := range maxConsumedIDs {
		if id := c.ids[(c.next+i)%maxConsumedIDs]; id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}
