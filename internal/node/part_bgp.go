package node

import (
	"os"
	"slices"

	"windflow/internal/bgp"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
	"windflow/internal/installation"
)

const msgBGP = "bgp" // bgp.Handed

// bgpPart announces the service addresses. In an upgrade its session goes over open, so that nothing is withdrawn.
func bgpPart(r *node) *part {
	if r.site.BGP == nil {
		return nil
	}
	var s *bgp.Speaker
	return &part{
		name:      "bgp",
		handsOver: true,
		start: func(bounds) error {
			// An elder that hangs may have a session; the neighbour would take a second one for a collision.
			if r.machine.Predecessor() != hotrestart.NoProcess && (r.machine.Phase() == hotrestart.PhaseDegraded || slices.Contains(r.handed.Parts, "bgp")) {
				s = bgp.StartDeferred(r.loop, r.net, *r.site.BGP, r.log)
			} else {
				s = bgp.StartSpeaker(r.loop, r.net, *r.site.BGP, r.log)
			}
			s.Announce()
			return nil
		},
		configure: func(now *installation.Settings, _ bounds) []string {
			s.Configure(*now.BGP)
			return nil
		},
		counters: func() []counted { return []counted{{"bgp", &s.Counters}} },
		drain:    func() { s.Withdraw() }, // first of all, so that new clients go elsewhere
		leave: func(to *hotrestartipc.Link) {
			s.Migrate(func(h bgp.SessionState, f *os.File) {
				if f == nil {
					to.Send(hotrestartipc.NewMessage(msgBGP, h))
					return
				}
				to.Send(hotrestartipc.NewMessage(msgBGP, h, f))
				_ = f.Close()
			})
		},
		end:   func() { s.Close() },
		alone: func() { s.Adopt(r.net, bgp.SessionState{}, nil) }, // connects, if it waited for the old process's session
		hear: map[string]func(*hotrestartipc.Link, *hotrestartipc.Message) error{
			msgBGP: func(_ *hotrestartipc.Link, m *hotrestartipc.Message) error {
				var h bgp.SessionState
				err := m.Decode(&h)
				var f *os.File
				if len(m.Files) > 0 {
					f, m.Files = m.Files[0], m.Files[1:]
				}
				s.Adopt(r.net, h, f)
				return err
			},
		},
	}
}
