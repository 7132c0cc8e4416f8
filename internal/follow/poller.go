package follow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"windflow/internal/decide/rollout"
)

const (
	// mostAnswer bounds what is read of an answer, in bytes: the largest document, each value escaped and with its pointer, fits.
	mostAnswer = 2 * rollout.MaxDocument
	// mostHeader bounds the head of an answer, in bytes.
	mostHeader = 16 << 10
	// dialWithin bounds the wait for a connection to a keeper.
	dialWithin = time.Second
	// mostSaid bounds what is shown of a keeper's error.
	mostSaid = 200
)

// poller makes the calls, over one connection that is kept.
type poller struct {
	transport *http.Transport
	client    *http.Client
	agent     string
}

func newPoller(name string) *poller {
	t := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialWithin}).DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxIdleConns:           1,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: mostHeader,
	}
	return &poller{transport: t, agent: "windflow", client: &http.Client{Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

func (p *poller) close() { p.transport.CloseIdleConnections() }

// ask says what this router has and hears what is new; not fresh where nothing is. The context bounds all of it.
func (p *poller) ask(ctx context.Context, addr string, report rollout.Report, holdMS int) (u rollout.Update, fresh bool, err error) {
	body, err := json.Marshal(struct {
		Report rollout.Report `json:"report"`
		WaitMS int            `json:"wait_ms"`
	}{report, holdMS})
	if err != nil {
		return u, false, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/follow", bytes.NewReader(body))
	if err != nil {
		return u, false, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("User-Agent", p.agent)
	answer, err := p.client.Do(r)
	if err != nil {
		return u, false, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, mostAnswer+1))
	switch {
	case err != nil:
		return u, false, err
	case len(text) > mostAnswer:
		return u, false, fmt.Errorf("an answer of more than %d bytes", mostAnswer)
	case answer.StatusCode == http.StatusNoContent:
		return u, false, nil
	case answer.StatusCode != http.StatusOK:
		return u, false, fmt.Errorf("status %d: %s", answer.StatusCode, bytes.ToValidUTF8(text[:min(len(text), mostSaid)], nil))
	}
	if err := json.Unmarshal(text, &u); err != nil {
		return u, false, fmt.Errorf("the answer can't be read: %w", err)
	}
	return u, !u.Nothing(), nil
}
