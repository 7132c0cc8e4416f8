package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	// forwardedByHeader is set on calls from one keeper to another, to the id of the calling keeper.
	forwardedByHeader = "Windflow-Keeper"
	// maxPeerResponseBytes bounds how much of another keeper's response is read. The leases of all followers fit.
	maxPeerResponseBytes = 64 << 20
	// peerCallTimeout bounds connecting to another keeper, and a call that the other keeper answers from memory.
	peerCallTimeout = time.Second

	maxIdleConnsPerPeer = 8
	peerIdleTimeout     = time.Minute
)

// Paths of the calls between keepers.
const (
	leasesPath = "/v1/leases"
	peerPath   = "/v1/peer"
	leaderPath = "/v1/leader"
	rosterPath = "/v1/roster"
)

// peerClient makes HTTP calls to the other keepers of the group.
type peerClient struct {
	ownID string
	peers []Peer // all keepers of the group, this one included
	http  *http.Client
}

func newPeerClient(ownID string, peers []Peer) *peerClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     peerIdleTimeout,
		DialContext:         (&net.Dialer{Timeout: peerCallTimeout}).DialContext,
	}
	return &peerClient{ownID: ownID, peers: peers, http: &http.Client{Transport: transport}}
}

// close closes idle connections.
func (c *peerClient) close() { c.http.CloseIdleConnections() }

// isSelf reports whether a peer is this keeper.
func (c *peerClient) isSelf(peer Peer) bool { return peer.ID == c.ownID }

// groupSize returns the number of keepers, this one included.
func (c *peerClient) groupSize() int { return len(c.peers) }

// peer returns the keeper with this id, and whether there is one.
func (c *peerClient) peer(id string) (Peer, bool) {
	i := slices.IndexFunc(c.peers, func(peer Peer) bool { return peer.ID == id })
	if i < 0 {
		return Peer{}, false
	}
	return c.peers[i], true
}

// others returns all keepers except this one.
func (c *peerClient) others() []Peer {
	return slices.DeleteFunc(slices.Clone(c.peers), func(peer Peer) bool { return peer.ID == c.ownID })
}

func (c *peerClient) newRequest(
	ctx context.Context, peer Peer, method, path string, body []byte,
) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+peer.HTTPAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(forwardedByHeader, c.ownID)
	return request, nil
}

// do sends a request. The caller must close the body of the response.
func (c *peerClient) do(request *http.Request) (*http.Response, error) { return c.http.Do(request) }

// get fetches path from a peer within peerCallTimeout and decodes the JSON response into out.
func (c *peerClient) get(ctx context.Context, peer Peer, path string, out any) error {
	return c.call(ctx, peer, peerCallTimeout, http.MethodGet, path, nil, out)
}

// post sends in as JSON and decodes the JSON response into out.
func (c *peerClient) post(ctx context.Context, peer Peer, timeout time.Duration, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.call(ctx, peer, timeout, http.MethodPost, path, body, out)
}

// call sends a request and decodes the JSON response into out. A status other than 200 is an error.
func (c *peerClient) call(
	ctx context.Context, peer Peer, timeout time.Duration, method, path string, body []byte, out any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.newRequest(ctx, peer, method, path, body)
	if err != nil {
		return err
	}
	httpResponse, err := c.do(request)
	if err != nil {
		return withoutURL(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if httpResponse.StatusCode != http.StatusOK {
		return fmt.Errorf("keeper %s responded with status %s", peer.ID, httpResponse.Status)
	}
	return json.NewDecoder(io.LimitReader(httpResponse.Body, maxPeerResponseBytes)).Decode(out)
}

// statuses fetches the status of all other keepers concurrently. The result, by keeper id, lacks those that did not
// respond.
func (c *peerClient) statuses(ctx context.Context) map[string]peerStatus {
	var mu sync.Mutex
	statuses := map[string]peerStatus{}
	var calls sync.WaitGroup
	for _, peer := range c.others() {
		calls.Go(func() {
			var status peerStatus
			if err := c.get(ctx, peer, peerPath, &status); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[peer.ID] = status
		})
	}
	calls.Wait()
	return statuses
}

// withoutURL removes the method and the URL from an error of http.Client.
func withoutURL(err error) error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err
	}
	return err
}

// dialFailed reports whether a call failed while connecting, so that nothing was sent.
func dialFailed(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
