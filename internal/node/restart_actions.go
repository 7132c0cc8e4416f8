package node

import (
	"os"
	"slices"

	"windflow/internal/decide/hotrestart"
)

// This file implements restartActions, the coordinator's actions on the router.

// serving implements restartActions. It reports whether the services have been built.
func (n *node) serving() bool { return n.services.built() }

// leaving reports whether another process accepts, while this one only finishes what it accepted.
func (n *node) leaving() bool { return n.shutdown.leaving }

// exportState implements restartActions. It collects the state for a successor from the core, the listeners, the parts
// and the keepers.
func (n *node) exportState() (stateMessage, []*os.File) {
	state := stateMessage{
		Version: hotrestart.ProtocolVersion, Generation: n.restart.generation, Core: n.services.core.State(),
		Parts: n.parts.handingOver(),
	}
	files := n.listeners.export(&state)
	if n.keepers != nil {
		state.Configuration = n.keepers.exported()
	}
	n.log.Info("successor connected", "open", n.services.core.OpenRequests())
	return state, files
}

// restoreState implements restartActions. It builds the router if that has not been done, and restores the
// predecessor's state in it.
func (n *node) restoreState(from *handover) {
	state := &from.state
	if state.Configuration != nil && n.keepers != nil {
		n.keepers.adopt(*state.Configuration) // before the router is built and may accept
	}
	if !n.services.built() {
		if !n.tryBuild() {
			return
		}
	} else {
		n.listeners.openMissing() // the predecessor's listeners may replace missing ones
		for _, p := range n.parts.all {
			if p.handsOver && !slices.Contains(state.Parts, p.name) {
				p.noHandover() // the predecessor has nothing to hand over
			}
		}
	}
	core := state.Core
	n.services.core.RestoreState(core)
	n.log.Info("predecessor state restored", "engines", len(core.Dispatch.Engines), "open", len(core.OpenIDs),
		"cordoned", len(core.Dispatch.Cordoned), "consumed_ids", len(core.ConsumedIDs))
}

// tryBuild builds the router. If that fails, it ends the process and returns false.
func (n *node) tryBuild() bool {
	err := n.build()
	if err != nil {
		n.life.fail(err)
	}
	return err == nil
}

// takenListeners implements restartActions. It returns the names of the listeners taken over.
func (n *node) takenListeners() []string { return n.listeners.taken }

// startAccepting implements restartActions. It builds the router if that has not been done, and accepts clients.
func (n *node) startAccepting() {
	if !n.services.built() && !n.tryBuild() {
		return
	}
	n.listeners.accept()
	n.links.publish()
	n.listeners.reportReady()
}

// stopAccepting implements restartActions. It releases the listeners that the other process has taken.
func (n *node) stopAccepting(taken []string) {
	n.listeners.release(taken)
	n.log.Info("listeners released to other process", "listeners", taken, "sessions", n.services.front.Sessions(),
		"open", n.services.core.OpenRequests())
}

// leave implements restartActions. It starts the shutdown of this process while another process accepts clients.
func (n *node) leave() { n.shutdown.leave(n.restart.partnerPeer()) }

// drain implements restartActions. It starts the shutdown without a successor.
func (n *node) drain() { n.shutdown.drain() }

// end implements restartActions. It ends the parts, unless another process continues their work, and then the process.
func (n *node) end() {
	if !n.leaving() {
		n.parts.end()
	}
	n.restart.end()
}

// shareChanged implements restartActions. It applies the limits for this process's changed share.
func (n *node) shareChanged() {
	if n.services.built() {
		n.limiter.update()
		n.limiter.applyToRuntime()
	}
}

// partnerChanged implements restartActions. It passes the change to the parts and starts usage reports to a new
// partner.
func (n *node) partnerChanged(partner *peer) {
	n.parts.partnerChanged(partner)
	if partner != nil {
		n.usage.reportPeriodically(partner)
	}
}

// partnerLost implements restartActions. It ends all waits for replies of the other process.
func (n *node) partnerLost() {
	n.cordons.partnerLost()
	n.claims.partnerLost()
	n.parts.partnerChanged(nil)
}

// partnerEnded implements restartActions. It continues with the full limits and without a handover.
func (n *node) partnerEnded() {
	n.usage.partnerEnded()
	n.services.core.OtherProcessEnded()
	n.limiter.update()
	n.limiter.applyToRuntime()
	n.log.Info("other process ended", "phase", n.restart.phase().String())
	n.parts.noHandover()
}
