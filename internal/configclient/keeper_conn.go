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
	// maxAnswerBytes bounds the body of an answer. It is large enough for the largest document with each value escaped
	// and accompanied by its pointer.
	maxAnswerBytes = 2 * configlog.MaxDocumentBytes
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 16 << 10
	// dialTimeout bounds the wait for a connection to a keeper.
	dialTimeout = time.Second
	// maxErrorTextBytes bounds the part of a keeper's error text that is repeated in an error.
	maxErrorTextBytes = 200
)

// errConnClosed reports that the connection ended before the first byte of the answer.
var errConnClosed = errors.New("the connection to the keeper was closed")

// keeperConn makes calls, one at a time, over one connection that it keeps open. It encodes requests and decodes
// answers with net/http but does not use http.Transport, which would add a TLS client and HTTP/2 to every router, with
// 1.5 MB of resident memory, for unencrypted calls to one address.
type keeperConn struct {
	address string
	conn    net.Conn          // nil without a connection
	limit   *io.LimitedReader // bounds the bytes read of an answer
	reader  *bufio.Reader
	unused  bool // no call was made on conn so far
}

func (k *keeperConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// open connects to the keeper at an address unless conn is a connection to it.
func (k *keeperConn) open(ctx context.Context, address string) error {
	if k.conn != nil && k.address == address {
		return nil
	}
	k.close()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	k.address, k.conn, k.unused = address, conn, true
	k.limit = &io.LimitedReader{R: conn}
	k.reader = bufio.NewReader(k.limit)
	return nil
}

// poll reports the status of this router to a keeper and returns the update in the answer. isNewer is false if there is
// no update or an empty one. ctx must have a deadline, which bounds the whole call.
func (k *keeperConn) poll(
	ctx context.Context, address string, status configlog.FollowerStatus, waitMS int,
) (update configlog.Update, isNewer bool, err error) {
	body, err := json.Marshal(struct {
		Report configlog.FollowerStatus `json:"report"`
		WaitMS int                      `json:"wait_ms"`
	}{status, waitMS})
	if err != nil {
		return update, false, err
	}
	statusCode, text, err := k.callWithReconnect(ctx, address, body)
	switch {
	case err != nil:
		return update, false, err
	case statusCode == http.StatusNoContent:
		return update, false, nil
	case statusCode != http.StatusOK:
		shown := bytes.ToValidUTF8(text[:min(len(text), maxErrorTextBytes)], nil)
		return update, false, fmt.Errorf("the keeper answered with status %d: %s", statusCode, shown)
	}
	if err := json.Unmarshal(text, &update); err != nil {
		return update, false, fmt.Errorf("decode the keeper's answer: %w", err)
	}
	return update, !update.IsEmpty(), nil
}

// callWithReconnect makes a call. If the keeper has closed the connection since an earlier call, it repeats the call on
// a new one.
func (k *keeperConn) callWithReconnect(ctx context.Context, address string, body []byte) (int, []byte, error) {
	for {
		if err := k.open(ctx, address); err != nil {
			return 0, nil, err
		}
		reused := !k.unused
		statusCode, text, err := k.call(ctx, body)
		if reused && errors.Is(err, errConnClosed) && ctx.Err() == nil {
			continue
		}
		return statusCode, text, err
	}
}

// call makes a call on the open connection. It closes the connection after an error or if the keeper asks for it.
func (k *keeperConn) call(ctx context.Context, body []byte) (statusCode int, text []byte, err error) {
	reusable := false
	defer func() {
		if !reusable {
			k.close()
		}
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+k.address+"/v1/follow", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "windflow")
	stop := k.applyDeadline(ctx)
	defer stop()
	answer, err := k.roundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	k.limit.N += maxAnswerBytes
	text, err = io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(text) > maxAnswerBytes {
		err = fmt.Errorf("the keeper's answer has more than %d bytes", maxAnswerBytes)
	}
	reusable = err == nil && !answer.Close && stop()
	return answer.StatusCode, text, err
}

// applyDeadline makes reads and writes on the connection fail once ctx ends, until stop is called. stop returns false
// if ctx has ended already.
func (k *keeperConn) applyDeadline(ctx context.Context) (stop func() bool) {
	conn := k.conn
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	return context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
}

// roundTrip sends a request and reads the header of the answer. The error wraps errConnClosed if no byte of an answer
// was received.
func (k *keeperConn) roundTrip(request *http.Request) (*http.Response, error) {
	k.unused = false
	if err := request.Write(k.conn); err != nil {
		return nil, fmt.Errorf("%w: %w", errConnClosed, err)
	}
	k.limit.N = maxHeaderBytes
	if _, err := k.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", errConnClosed, err)
	}
	return http.ReadResponse(k.reader, request)
}
