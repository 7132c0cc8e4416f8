package node

import (
	"errors"
	"maps"
	"slices"

	"windflow/dispatch"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// order carries out an operator's word on an engine, and answers once it is in force in all processes of this router.
func (r *node) order(engine string, exclude bool, answer func(bool)) {
	id, err := settings.ParseEngineID(engine)
	if err != nil {
		answer(false)
		return
	}
	known := r.core.KnowsEngine(id)
	r.ban(id, exclude, known, func() { r.tellBan(id, exclude, known, answer) })
}

// ban notes a ban, or its end, where all processes of this router see it, then carries it out here, then goes on.
func (r *node) ban(id dispatch.EngineID, exclude, known bool, then func()) {
	apply := func() {
		if known {
			if exclude {
				r.core.Cordon(id)
				r.out[id] = true
			} else {
				r.core.Uncordon(id)
				delete(r.out, id)
			}
		}
		then()
	}
	if r.place == nil || !known {
		apply()
		return
	}
	engine := settings.FormatEngineID(id)
	cant := func(err error) {
		r.log.Warn("bans can't be noted for other processes of this router", "engine", engine, "err", err)
		r.unnoted = true // the folder would undo it
		apply()
	}
	r.inOrder(func() {
		err := r.place.SetCordon(engine, exclude)
		r.loop.Post(func() {
			if err != nil {
				cant(err)
				return
			}
			apply()
		})
	}, func() { cant(errors.New("the disk does not answer")) })
}

// banThere carries out a ban that the other process was told. One of version 2 has noted it, and must not be overtaken by
// a second note of this one's; what is read of the folder from now on has it.
func (r *node) banThere(p *peer, b ban, then func()) {
	if p.version < 2 || b.Unnoted || r.unnoted {
		r.unnoted = r.unnoted || b.Unnoted
		r.ban(b.ID, b.Exclude, b.Known, then)
		return
	}
	r.inOrder(func() {
		r.readBans()
		r.loop.Post(then)
	}, then)
}

// readBans has the loop go by the bans that are noted. It is called where files may be waited for.
func (r *node) readBans() {
	names, err := r.place.Cordoned()
	if err != nil {
		return
	}
	now := map[dispatch.EngineID]bool{}
	for _, name := range names {
		if id, err := settings.ParseEngineID(name); err == nil {
			now[id] = true
		}
	}
	r.loop.Post(func() { r.goBy(now) })
}

// goBy carries out the bans that other processes of this router were told.
func (r *node) goBy(now map[dispatch.EngineID]bool) {
	if r.unnoted || maps.Equal(now, r.out) {
		return
	}
	old := r.out
	r.out = now
	if r.core == nil {
		return // build goes by them
	}
	for id := range old {
		if !now[id] {
			r.core.Uncordon(id)
		}
	}
	r.core.AdoptCordons(slices.Sorted(maps.Keys(now)))
	r.log.Info("bans", "excluded", len(now))
}

// tellBan tells the other process of an operator's word, and answers the operator once it is in force there too.
func (r *node) tellBan(id dispatch.EngineID, exclude, known bool, answer func(bool)) {
	if r.with == nil {
		answer(known)
		return
	}
	r.seq++
	n := r.seq
	var late *router.Timer
	r.answers[n] = func(there bool) {
		delete(r.answers, n)
		late.Stop()
		answer(known || there)
	}
	late = r.loop.After(banWithin, func() { r.answers[n](false) })
	r.tell(msgBan, ban{N: n, ID: id, Exclude: exclude, Unnoted: r.unnoted})
}
