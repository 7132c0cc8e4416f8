package node

import (
	"windflow/internal/discovery"
	"windflow/internal/enginehttp"
	"windflow/internal/installation"
	"windflow/internal/mysql"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// services are the components that serve requests. They are nil until the router is built; byKind exists from the
// start. A process that waits for the state of its predecessor has none yet.
type services struct {
	net       *netio.Poller
	core      *router.Core
	byKind    *router.ClientByKind // clients of engines, by kind of engine
	engines   *enginehttp.Client
	front     *mysql.Front
	endpoints *discovery.Watcher
}

// built reports whether the core has been created. The parts start after that.
func (s *services) built() bool { return s.core != nil }

// activeSettings are the settings in force. They are changed in the event loop only.
type activeSettings struct {
	platform *settings.Node
	site     *installation.Settings
}
