// Package keeper stores the routers' configuration by revision. Up to five keepers on the control machines store one
// log of revisions, replicated with hashicorp/raft; package configlog decides what the log contains. Keepers accept
// changes from operators and deliver them to the routers over HTTP. See docs/configuration.md and
// docs/design/keepers.md.
//
// Run wires the parts of one keeper together:
//
//   - folder and stores contain what the keeper has on disk; verify.go checks it at the start.
//   - membership decides whether the keeper founds a group, joins one or belongs to it, and records that in the folder.
//   - replication owns the raft node; stateMachine is the state that raft replicates.
//   - leaderProxy carries a call out at the leader: here, or by forwarding it.
//   - changeService, configReader, followService, enrollment, convergenceService and statusService answer the HTTP
//     calls that api routes to them.
package keeper
