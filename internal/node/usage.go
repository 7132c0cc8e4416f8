package node

import (
	"windflow/dispatch"
	"windflow/internal/router"
)

const (
	msgUsage = "use" // usageMessage
	// usageIntervalMS is how often each of two processes reports its usage to the other. A report is skipped while
	// maxUsageBacklog or more messages to the other process are pending.
	usageIntervalMS = 50.0
	maxUsageBacklog = 8
)

// usageMessage reports what a process has running, and how much of the router's limits it uses.
type usageMessage struct {
	Dispatch    dispatch.OtherProcessUsage `json:"module"`
	Sessions    int                        `json:"sessions"`
	EngineConns int                        `json:"conns"`
	Leaving     bool                       `json:"leaving"`
}

// usageExchange reports this process's usage to the other process of the router, and keeps the latest report of that
// one.
type usageExchange struct {
	loop     *router.Loop
	services *services
	partner  *partnerLink
	leaving  func() bool
	latest   usageMessage // report of the other process; zero while there is none
}

// reportPeriodically reports to a process every usageIntervalMS for as long as it is the partner.
func (u *usageExchange) reportPeriodically(p *peer) {
	if u.partner.peer != p {
		return
	}
	if p.link.Pending() < maxUsageBacklog {
		u.report()
	}
	u.loop.After(usageIntervalMS, func() { u.reportPeriodically(p) })
}

// report sends this process's current usage to the other process, if there is one.
func (u *usageExchange) report() {
	u.partner.send(msgUsage, usageMessage{
		Dispatch: u.services.core.Usage(), Sessions: u.services.front.Sessions(),
		EngineConns: u.services.engines.ConnCount(), Leaving: u.leaving(),
	})
}

// update handles a report of the other process.
func (u *usageExchange) update(usage usageMessage) {
	u.latest = usage
	u.services.core.SetOtherProcessUsage(usage.Dispatch)
}

// reported returns the latest report of the other process, zero while there is none.
func (u *usageExchange) reported() usageMessage { return u.latest }

// partnerEnded clears the report of a process that has ended.
func (u *usageExchange) partnerEnded() { u.latest = usageMessage{} }
