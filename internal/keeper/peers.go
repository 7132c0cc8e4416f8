package keeper

import (
	"fmt"
	"net"
	"strings"
)

const (
	// maxPeers bounds a group of keepers; more make each change slower and none safer in practice.
	maxPeers = 5
	// maxNameBytes bounds a keeper's id and a cluster's name.
	maxNameBytes = 64
)

// Peer is one keeper of the group, with the addresses at which the others reach it.
type Peer struct {
	ID       string
	RaftAddr string // host:port of the replication
	HTTPAddr string // host:port of the HTTP calls
}

// ParsePeers reads a list of the form `k1=RAFT/HTTP,k2=RAFT/HTTP`. Errors name the flag --peers.
func ParsePeers(text string) ([]Peer, error) {
	var peers []Peer
	for part := range strings.SplitSeq(text, ",") {
		id, addresses, hasAddresses := strings.Cut(part, "=")
		raftAddr, httpAddr, hasBoth := strings.Cut(addresses, "/")
		if !hasAddresses || !hasBoth || id == "" {
			return nil, fmt.Errorf("--peers: %q is not ID=RAFT/HTTP", part)
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
		return fmt.Errorf("address %q needs a host and a port", address)
	}
	return nil
}

// validatePeers checks that the ids are valid and unique and that own is one of them.
func validatePeers(peers []Peer, own string) error {
	seen := map[string]bool{}
	for _, peer := range peers {
		if !validName(peer.ID) {
			return fmt.Errorf("--peers: id %q: 1 to %d letters, digits, '.', '_', '-'", peer.ID, maxNameBytes)
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

// validName reports whether a text can be the id of a keeper or the name of a cluster.
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
