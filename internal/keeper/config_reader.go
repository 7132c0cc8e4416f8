package keeper

import (
	"encoding/json"
	"net/http"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

const (
	defaultHistoryLength = 20
	maxHistoryLength     = 1000
)

// configReader answers reads of the configuration from this keeper's local state. The state may lag behind the
// leader's, for a long time if this keeper is partitioned from the group.
type configReader struct {
	stateMachine *stateMachine
	stopping     <-chan struct{} // closed when open calls have to end
}

// configContent is the response to `GET /v1/config`.
type configContent struct {
	Revision uint64                     `json:"revision"`
	Hash     configlog.Hash             `json:"hash"`
	Entries  map[string]json.RawMessage `json:"entries"`
}

// revisionHistory is the response to `GET /v1/revisions`. The fields are in the alphabetical order of their keys,
// because that is the order in which earlier versions encoded them.
type revisionHistory struct {
	Oldest    uint64               `json:"oldest"`
	Revision  uint64               `json:"revision"`
	Revisions []configlog.Revision `json:"revisions"`
}

// handleConfig handles `GET /v1/config`. It waits up to wait_ms milliseconds for a revision that does not exist yet.
func (c *configReader) handleConfig(_ http.ResponseWriter, r *http.Request) response {
	revision, wait, failure := queryRevisionAndWait(r)
	if failure != nil {
		return *failure
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		content, err, changed := c.stateMachine.contentAt(revision)
		switch {
		case err == nil:
			return okResponse(content)
		case err.Kind != configerror.Invalid:
			return changeErrorResponse(err)
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-c.stopping:
		case <-r.Context().Done():
		}
		return response{http.StatusNotFound, err}
	}
}

// handleRevisions handles `GET /v1/revisions`. It returns up to `most` revisions: those that start at `from`, or the
// latest ones if `from` is absent.
func (c *configReader) handleRevisions(_ http.ResponseWriter, r *http.Request) response {
	from, failure := queryUint(r, "from")
	if failure != nil {
		return *failure
	}
	limit, failure := queryUint(r, "most")
	if failure != nil {
		return *failure
	}
	current := c.stateMachine.summary()
	count := uint64(defaultHistoryLength)
	if limit != nil {
		count = min(*limit, maxHistoryLength)
	}
	first := uint64(0)
	switch {
	case from != nil:
		first = *from
	case current.Revision >= count:
		first = current.Revision - count + 1
	}
	history := c.stateMachine.history(first, int(count))
	return okResponse(revisionHistory{Oldest: current.Oldest, Revision: current.Revision, Revisions: history})
}
