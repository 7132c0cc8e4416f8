package router

// spent remembers the ids of the latest requests that must not run twice and may have run. It guards against a client
// that uses an id again: an engine that has run it would run it once more.
type spent struct {
	at   map[string]int // place in ids
	ids  [maxSpent]string
	next int
}

// maxSpent is some minutes of loads.
const maxSpent = 4096

func (s *spent) has(id string) bool {
	_, ok := s.at[id]
	return ok
}

func (s *spent) add(id string) {
	if s.has(id) {
		return
	}
	s.remove(s.ids[s.next])
	s.ids[s.next], s.at[id] = id, s.next
	s.next = (s.next + 1) % maxSpent
}

// remove takes back an id that is proven never to have run.
func (s *spent) remove(id string) {
	if i, ok := s.at[id]; ok {
		s.ids[i] = ""
		delete(s.at, id)
	}
}
