// Package keeper implements the keepers: up to five servers on the control machines that store every revision of the
// routers' configuration in one log, replicated with hashicorp/raft. Package configlog defines the content of the log.
// Keepers accept changes from operators and deliver them to the routers, their followers, over HTTP. See
// docs/configuration.md and docs/design/keepers.md.
//
// Run connects the parts of one keeper:
//
//   - folder and stores manage the keeper's files; verify.go checks them when the keeper starts.
//   - membership decides whether the keeper bootstraps a group, joins one or is already a member, and records the stage
//     in the folder.
//   - replication owns the raft node; stateMachine is the state that raft replicates.
//   - leaderProxy runs a call at the leader: on this keeper if it leads, otherwise by forwarding the call.
//   - changeService, configReader, followService, enrollment, convergenceService and statusService handle the HTTP
//     calls that api routes to them.
package keeper
