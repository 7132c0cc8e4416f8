package keeper

import (
	"fmt"
	"net"
	"strings"
)

const (
	// maxPeers bounds the size of a group. More keepers would make each change slower without a practical gain in
	// safety.
	maxPeers = 5
	// maxNameBytes bounds the length of a keeper's id and of a cluster's name.
	maxNameBytes = 64
)

// Peer is one keeper of the group and the addresses at which the others reach it.
type Peer struct {
	ID       string
	RaftAddr string // host:port for replication traffic
	HTTPAddr string // host:port for HTTP calls
}

// ParsePeers parses a list of the form `k1=RAFT/HTTP,k2=RAFT/HTTP`, where RAFT and HTTP have the form host:port. Errors
// name the flag --peers.
func ParsePeers(text string) ([]Peer, error) {
	var peers []Peer
	for part := range strings.SplitSeq(text, ",") {
		id, addresses, hasAddresses := strings.Cut(part, "=")
		raftAddr, httpAddr, hasBoth := strings.Cut(addresses, "/")
		if !hasAddresses || !hasBoth || id == "" {
			return nil, fmt.Errorf("--peers: %q does not have the form ID=RAFT/HTTP", part)
		}
		for _, address := range []string{raftAddr, httpAddr} {
			if err := validateAddress(address); err != nil {
				return nil, fmt.Errorf("--peers: %s: %w", id, err)
			}
		}
		peers = append(peers, Peer{ID: id, RaftAddr: raftAddr, HTTPAddr: httpAddr})
	}
	return peers, nil
}

func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if host == "" || port == "" || port == "0" {
		return fmt.Errorf("address %q does not have a host and a nonzero port", address)
	}
	return nil
}

// validatePeers checks that the ids are valid and unique, and that own is one of them.
func validatePeers(peers []Peer, own string) error {
	seen := map[string]bool{}
	for _, peer := range peers {
		if !validName(peer.ID) {
			return fmt.Errorf("--peers: id %q is not 1 to %d letters, digits, '.', '_' or '-'", peer.ID, maxNameBytes)
		}
		if seen[peer.ID] {
			return fmt.Errorf("--peers: %s is named twice", peer.ID)
		}
		seen[peer.ID] = true
	}
	if !seen[own] {
		return fmt.Errorf("--id: %s is not among --peers", own)
	}
	return nil
}

// validName reports whether text is allowed as a keeper's id or a cluster's name: 1 to maxNameBytes letters, digits,
// '.', '_' or '-'.
func validName(text string) bool {
	for _, char := range []byte(text) {
		if !isNameByte(char) {
			return false
		}
	}
	return text != "" && len(text) <= maxNameBytes
}

func isNameByte(char byte) bool {
	switch {
	case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		return true
	}
	return char == '.' || char == '_' || char == '-'
}
