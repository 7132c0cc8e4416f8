package node

import (
	"os"

	"windflow/internal/bgp"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
	"windflow/internal/installation"
)

const msgBGP = "bgp" // bgp.SessionState

const bgpPartName = "bgp"

// bgpPart returns the part that announces the service addresses by BGP. In a hot restart its open session is handed
// over, so that no address is withdrawn.
func bgpPart(n *node) *part {
	if n.active.site.BGP == nil {
		return nil
	}
	active, services, restart := &n.active, &n.services, n.restart
	var speaker *bgp.Speaker
	return &part{
		name:      bgpPartName,
		handsOver: true,
		start: func(limits) error {
			start := bgp.StartSpeaker
			if predecessorHasSession(restart) {
				start = bgp.NewDeferredSpeaker
			}
			speaker = start(n.loop, services.net, *active.site.BGP, n.log)
			speaker.Announce()
			return nil
		},
		configure: func(updated *installation.Settings, _ limits) []string {
			speaker.Configure(*updated.BGP)
			return nil
		},
		counters: func() []counterGroup { return []counterGroup{{bgpPartName, &speaker.Counters}} },
		drain:    func() { speaker.Withdraw() }, // at the beginning of a shutdown, so that new clients go to other routers
		leave: func(to *peer) {
			speaker.Migrate(func(session bgp.SessionState, conn *os.File) {
				if conn == nil {
					to.send(msgBGP, session)
					return
				}
				to.send(msgBGP, session, conn)
				_ = conn.Close()
			})
		},
		end: func() { speaker.Close() },
		// The speaker connects by itself if it was waiting for the other process's session.
		noHandover: func() { speaker.Adopt(services.net, bgp.SessionState{}, nil) },
		handlers: map[string]messageHandler{
			msgBGP: func(_ *peer, m *hotrestartipc.Message) error {
				var session bgp.SessionState
				err := m.Decode(&session)
				var conn *os.File
				if len(m.Files) > 0 {
					conn, m.Files = m.Files[0], m.Files[1:]
				}
				speaker.Adopt(services.net, session, conn)
				return err
			},
		},
	}
}

// predecessorHasSession reports whether a predecessor has a BGP session, or may have one because it hangs. The
// neighbour would then treat a second session as a connection collision.
func predecessorHasSession(restart *coordinator) bool {
	return restart.hasPredecessor() &&
		(restart.phase() == hotrestart.PhaseDegraded || restart.predecessorHandsOver(bgpPartName))
}
