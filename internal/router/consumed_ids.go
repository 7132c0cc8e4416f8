package router

// consumedIDs remembers the ids of the latest at-most-once requests that may have run. It guards against a client that
// uses an id again: an engine that has run the request would run it once more.
type consumedIDs struct {
	index map[string]int // position in ids
	ids   [maxConsumedIDs]string
	next  int
}

// maxConsumedIDs covers some minutes of at-most-once requests.
const maxConsumedIDs = 4096

func (c *consumedIDs) has(id string) bool {
	_, ok := c.index[id]
	return ok
}

// add remembers an id and forgets the oldest one if there is no space left.
func (c *consumedIDs) add(id string) {
	if c.has(id) {
		return
	}
	c.remove(c.ids[c.next])
	c.ids[c.next], c.index[id] = id, c.next
	c.next = (c.next + 1) % maxConsumedIDs
}

// remove forgets an id that is proven never to have run.
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
