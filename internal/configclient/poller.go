package configclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"windflow/internal/decide/configlog"
)

const (
	// mostAnswer bounds what is read of an answer, in bytes: the largest document, each value escaped and with its pointer, fits.
	mostAnswer = 2 * configlog.MaxDocumentBytes
	// mostHeader bounds the head of an answer, in bytes.
	mostHeader = 16 << 10
	// dialWithin bounds the wait for a connection to a keeper.
	dialWithin = time.Second
	// mostSaid bounds what is shown of a keeper's error.
	mostSaid = 200
)

// poller makes the calls, one at a time over one connection that is kept. Requests and answers are net/http's; its Transport
// would bring a TLS client and HTTP/2 into every router, 1.5 MB of it resident, for plain calls to one address.
type poller struct {
	addr   string
	conn   net.Conn // nil for none
	left   *io.LimitedReader
	in     *bufio.Reader
	unused bool // nothing was asked on it yet
}

func (p *poller) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// open has a connection to a keeper, the one that there is or another one.
func (p *poller) open(ctx context.Context, addr string) error {
	if p.conn != nil && p.addr == addr {
		return nil
	}
	p.close()
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	p.addr, p.conn, p.unused = addr, conn, true
	p.left = &io.LimitedReader{R: conn}
	p.in = bufio.NewReader(p.left)
	return nil
}

// poll says what this router has and hears what is new; not fresh where nothing is. The context, which has to have a deadline,
// bounds all of it.
func (p *poller) poll(ctx context.Context, addr string, report configlog.FollowerStatus, holdMS int) (u configlog.Update, fresh bool, err error) {
	body, err := json.Marshal(struct {
		Report configlog.FollowerStatus `json:"report"`
		WaitMS int                      `json:"wait_ms"`
	}{report, holdMS})
	if err != nil {
		return u, false, err
	}
	for {
		if err := p.open(ctx, addr); err != nil {
			return u, false, err
		}
		kept := !p.unused
		status, text, err := p.call(ctx, body)
		switch {
		case kept && errors.Is(err, errClosed) && ctx.Err() == nil:
			continue // the keeper had closed it while it was not used
		case err != nil:
			return u, false, err
		case status == http.StatusNoContent:
			return u, false, nil
		case status != http.StatusOK:
			return u, false, fmt.Errorf("status %d: %s", status, bytes.ToValidUTF8(text[:min(len(text), mostSaid)], nil))
		}
		if err := json.Unmarshal(text, &u); err != nil {
			return u, false, fmt.Errorf("the answer can't be read: %w", err)
		}
		return u, !u.IsEmpty(), nil
	}
}

// errClosed is a connection that ended before anything of the answer came.
var errClosed = errors.New("the connection was closed")

// call asks on the open connection. After an error it is closed.
func (p *poller) call(ctx context.Context, body []byte) (status int, text []byte, err error) {
	conn := p.conn
	keep := false
	defer func() {
		if !keep {
			p.close()
		}
	}()
	r, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/v1/follow", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("User-Agent", "windflow")
	if at, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(at)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p.unused = false
	if err := r.Write(conn); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", errClosed, err)
	}
	p.left.N = mostHeader
	if _, err := p.in.Peek(1); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", errClosed, err)
	}
	answer, err := http.ReadResponse(p.in, r)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	p.left.N += mostAnswer
	text, err = io.ReadAll(io.LimitReader(answer.Body, mostAnswer+1))
	if err == nil && len(text) > mostAnswer {
		err = fmt.Errorf("an answer of more than %d bytes", mostAnswer)
	}
	keep = err == nil && !answer.Close && stop()
	return answer.StatusCode, text, err
}
