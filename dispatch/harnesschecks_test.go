package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// This file contains the checks of the harness on the actions of its controller.

// checkAction checks one action and records its effect.
func (h *harness) checkAction(action Action) {
	h.t.Helper()
	switch action := action.(type) {
	case StartAttempt:
		h.starts = append(h.starts, action)
		client, e := h.requests[action.Request], h.endpoints[action.Engine]
		h.checkStartWithin(client, e, action.StartWithin)
		h.checkStart(client, e)
		h.recordStart(client, e)
	case Reject:
		client := h.requests[action.Request]
		h.checkReject(client)
		h.recordAnswer(client)
	case FailRequest:
		h.recordAnswer(h.requests[action.Request])
	case CancelAttempt:
		if !h.config.CancelAllowed {
			h.t.Fatalf("attempt %d of %s is cancelled although CancelAllowed is not set",
				action.Attempt, action.Request)
		}
	case SetResources, Subscribe, SetTimer: // allowed at any time
	}
}

// recordAnswer counts an answer and checks that it is the only one and arrives in time.
func (h *harness) recordAnswer(client *clientRequest) {
	h.t.Helper()
	if client.gone {
		return
	}
	client.answers++
	if client.answers > 1 || h.now > client.deadline+answerTolerance {
		h.t.Fatalf("%s has %d answers, the last %v after its deadline; want 1, at most %v after it",
			client.id, client.answers, h.now-client.deadline, answerTolerance)
	}
}

// outcomeMayHaveRun reports whether an attempt with the given outcome may have run. An outstanding attempt may.
func outcomeMayHaveRun(o Outcome) bool { return o != EngineFull && o != ConnectFailed && o != NotSent }

// checkReject checks that a retry of the rejected request by its client cannot have its effect twice.
func (h *harness) checkReject(client *clientRequest) {
	h.t.Helper()
	for i, outcome := range client.outcomes {
		if !outcomeMayHaveRun(outcome) || client.class.Semantics == Idempotent {
			continue
		}
		windowOver := h.now > client.startedAt[i]+client.class.IdempotencyWindow
		if client.class.Semantics == AtMostOnce || client.class.IdempotencyScope != ScopeAll || windowOver {
			h.t.Fatalf("%s is rejected, but its attempt %d may have run and a retry may repeat its effect",
				client.id, i)
		}
	}
}

// checkStart checks that an attempt of a request may start on an engine.
func (h *harness) checkStart(client *clientRequest, e Endpoint) {
	h.t.Helper()
	for _, check := range []func(*clientRequest, Endpoint) error{
		h.startAllowed, h.placementAllowed, h.repeatAllowed, h.orderAllowed, h.budgetAllowed,
	} {
		if err := check(client, e); err != nil {
			h.t.Fatalf("%s on engine %d: %v", client.id, e.ID, err)
		}
	}
}

// startAllowed returns an error if the request has ended, the engine is not live, or the maximum number of attempts is
// reached.
func (h *harness) startAllowed(client *clientRequest, e Endpoint) error {
	switch {
	case client.answers > 0 || client.gone:
		return fmt.Errorf("started after the request ended")
	case e.ID == 0 || e.State != Live:
		return fmt.Errorf("started on an engine that is draining, removed or unknown")
	case h.config.MaxAttempts > 0 && len(client.engines) >= h.config.MaxAttempts:
		return fmt.Errorf("started after %d attempts, want at most %d", len(client.engines), h.config.MaxAttempts)
	}
	return nil
}

// placementAllowed returns an error if the class does not allow the zone or the kind of the engine.
func (h *harness) placementAllowed(client *clientRequest, e Endpoint) error {
	if len(client.class.Zones) > 0 && !slices.Contains(client.class.Zones, e.Zone) ||
		len(client.class.Kinds) > 0 && !slices.Contains(client.class.Kinds, e.Kind) {
		return fmt.Errorf("placed in zone %s on kind %s, want zones %v and kinds %v",
			e.Zone, e.Kind, client.class.Zones, client.class.Kinds)
	}
	return nil
}

// repeatAllowed returns an error if the effect of the request may happen twice, or if a second attempt starts although
// hedging is not allowed.
func (h *harness) repeatAllowed(client *clientRequest, e Endpoint) error {
	for i, outcome := range client.outcomes {
		if outcome == outstanding && !h.config.HedgingAllowed {
			return fmt.Errorf("started while attempt %d is outstanding and hedging is not allowed", i)
		}
		if !outcomeMayHaveRun(outcome) || client.class.Semantics == Idempotent {
			continue
		}
		first := h.endpoints[client.engines[i]]
		windowOver := h.now > client.startedAt[i]+client.class.IdempotencyWindow
		otherScope := client.class.IdempotencyScope == ScopeZone && first.Zone != e.Zone ||
			client.class.IdempotencyScope == ScopeCell && first.Cell != e.Cell
		if client.class.Semantics == AtMostOnce || windowOver || otherScope {
			return fmt.Errorf("attempt %d may have run and the effect may happen twice", i)
		}
	}
	return nil
}

// orderAllowed returns an error if an earlier request of the same ordering key has not ended.
func (h *harness) orderAllowed(client *clientRequest, _ Endpoint) error {
	if !client.class.OrderByKey || client.key == "" {
		return nil
	}
	for _, earlier := range h.clients {
		if earlier == client {
			break
		}
		if !earlier.class.OrderByKey || earlier.key != client.key {
			continue
		}
		if earlier.answers == 0 && !earlier.gone {
			return fmt.Errorf("started before the earlier request %s of key %q was answered", earlier.id, client.key)
		}
		if slices.Contains(earlier.outcomes, outstanding) {
			return fmt.Errorf("started while an attempt of %s of key %q is outstanding", earlier.id, client.key)
		}
	}
	return nil
}

// budgetAllowed counts a retry and returns an error if the retry exceeds the retry budget. It checks the earliest and
// the latest time at which the retry may start.
func (h *harness) budgetAllowed(client *clientRequest, _ Endpoint) error {
	budget := h.config.RetryBudget
	if len(client.engines) == 0 || budget.Window <= 0 {
		return nil
	}
	h.retries = append(h.retries, h.now)
	for _, start := range []time.Duration{h.now, h.now + budget.startDelay()} {
		allowed := budget.Free + budget.PerRequest*float64(countAfter(h.arrivals, start-budget.Window))
		if float64(countAfter(h.retries, h.now-budget.Window-budget.startDelay())) > allowed {
			return fmt.Errorf("the retry exceeds the retry budget of %v", allowed)
		}
	}
	return nil
}

// recordStart adds a started attempt to its request, and to the starts of its engine if that warms up.
func (h *harness) recordStart(client *clientRequest, e Endpoint) {
	if h.isWarming(e) && h.config.WarmUp.OverloadFactor > 0 {
		h.warmingStarts[e.ID] = append(h.warmingStarts[e.ID], h.now)
	}
	client.engines = append(client.engines, e.ID)
	client.startedAt = append(client.startedAt, h.now)
	client.outcomes = append(client.outcomes, outstanding)
}

// checkStartWithin checks the time within which an attempt has to start. It is limited by the idempotency window of
// earlier attempts that may have run, by the slow start of the engine and by the retry budget.
func (h *harness) checkStartWithin(client *clientRequest, e Endpoint, within time.Duration) {
	h.t.Helper()
	var bounds []time.Duration
	for i, outcome := range client.outcomes {
		if client.class.Semantics == IdempotentByKey && outcomeMayHaveRun(outcome) {
			bounds = append(bounds, max(client.startedAt[i]+client.class.IdempotencyWindow-h.now, 1))
		}
	}
	if h.isWarming(e) && h.config.WarmUp.OverloadWindow > 0 {
		bounds = append(bounds, h.config.WarmUp.OverloadWindow/warmUpStartFraction)
	}
	if delay := h.config.RetryBudget.startDelay(); delay > 0 && len(client.outcomes) > 0 {
		bounds = append(bounds, delay)
	}
	if len(bounds) == 0 {
		return // no limit applies
	}
	if limit := slices.Min(bounds); within <= 0 || within > limit {
		h.t.Fatalf("%s on engine %d may start within %v, want more than 0 and at most %v",
			client.id, e.ID, within, limit)
	}
}
