package dispatch

import (
	"testing"
	"time"
)

// newRetryTest returns a request with one attempt, started on the first engine a second ago, and three engines. The
// second one is in another zone and cell than the first, the third one is in the same zone and cell.
func newRetryTest(class Class, mayHaveRun bool) (*retryRules, *request, [3]*engine) {
	env := &environment{now: time.Hour}
	rules := &retryRules{env: env, warmUps: &warmUpLimiter{env: env}}
	engines := [3]*engine{
		{Endpoint: Endpoint{ID: 1, Zone: "z0", Cell: 0}},
		{Endpoint: Endpoint{ID: 2, Zone: "z1", Cell: 1}},
		{Endpoint: Endpoint{ID: 3, Zone: "z0", Cell: 0}},
	}
	req := &request{class: newClass(class), deadline: env.now + time.Minute}
	req.attempts = []*attempt{{
		request: req, engine: engines[0], startedAt: env.now - time.Second, mayHaveRun: mayHaveRun, ended: true,
	}}
	return rules, req, engines
}

// The semantics of the class determine whether and where a request may be sent again, and whether a rejection
// guarantees that the client can safely retry.
func TestRetryRulesFollowSemantics(t *testing.T) {
	byKey := func(scope IdempotencyScope, window time.Duration) Class {
		return Class{Semantics: IdempotentByKey, IdempotencyScope: scope, IdempotencyWindow: window}
	}
	for _, test := range []struct {
		name                           string
		class                          Class
		mayHaveRun                     bool
		onOther, onSameScope, rejected bool
	}{
		{"idempotent", Class{Semantics: Idempotent}, true, true, true, true},
		{"at most once", Class{Semantics: AtMostOnce}, true, false, false, false},
		{"at most once, not run", Class{Semantics: AtMostOnce}, false, true, true, true},
		{"by key", byKey(ScopeAll, 2*time.Second), true, true, true, true},
		{"by key of a zone", byKey(ScopeZone, 2*time.Second), true, false, true, false},
		{"by key of a cell", byKey(ScopeCell, 2*time.Second), true, false, true, false},
		{"by key of a cell, not run", byKey(ScopeCell, 2*time.Second), false, true, true, true},
		{"by key, window over", byKey(ScopeAll, 900*ms), true, false, false, false},
	} {
		rules, req, engines := newRetryTest(test.class, test.mayHaveRun)
		if got := rules.mayRepeatOn(req, engines[1]); got != test.onOther {
			t.Errorf("%s: may repeat in another zone and cell: %v, want %v", test.name, got, test.onOther)
		}
		if got := rules.mayRepeatOn(req, engines[2]); got != test.onSameScope {
			t.Errorf("%s: may repeat in the same zone and cell: %v, want %v", test.name, got, test.onSameScope)
		}
		if got := rules.mayReject(req); got != test.rejected {
			t.Errorf("%s: may reject: %v, want %v", test.name, got, test.rejected)
		}
	}
}

// The retry budget compares retries with arrivals within its window.
func TestRetryBudget(t *testing.T) {
	for _, test := range []struct {
		name              string
		budget            RetryBudget
		arrivals, retries int
		after             time.Duration
		allows            bool
	}{
		{"no budget", RetryBudget{}, 0, 1000, 0, true},
		{"free retries", RetryBudget{Window: 4 * time.Second, Free: 2}, 0, 1, 0, true},
		{"free retries used up", RetryBudget{Window: 4 * time.Second, Free: 2}, 0, 2, 0, false},
		{"by arrivals", RetryBudget{Window: 4 * time.Second, PerRequest: 0.1}, 20, 1, 0, true},
		{"by arrivals, used up", RetryBudget{Window: 4 * time.Second, PerRequest: 0.1}, 20, 2, 0, false},
		{"arrivals too long ago", RetryBudget{Window: 4 * time.Second, PerRequest: 0.1}, 20, 0, 4 * time.Second, false},
		{"retries too long ago", RetryBudget{Window: 4 * time.Second, Free: 2}, 0, 2, 5 * time.Second, true},
	} {
		env := &environment{now: time.Hour, config: Config{RetryBudget: test.budget}}
		rules := &retryRules{env: env}
		for range test.arrivals {
			rules.recordArrival()
		}
		for range test.retries {
			rules.recordRetry()
		}
		env.now += test.after
		if got := rules.budgetAllows(); got != test.allows {
			t.Errorf("%s: budget allows a retry: %v, want %v", test.name, got, test.allows)
		}
	}
}

// A retry has to start within its idempotency window and its retry budget, and soon on a warming engine.
func TestStartWithin(t *testing.T) {
	byKey := Class{Semantics: IdempotentByKey, IdempotencyWindow: 1300 * ms}
	for _, test := range []struct {
		name    string
		class   Class
		budget  RetryBudget
		warming bool
		want    time.Duration
	}{
		{"no bound", Class{}, RetryBudget{}, false, 0},
		{"window", byKey, RetryBudget{}, false, 300 * ms},
		{"budget", Class{}, RetryBudget{Window: time.Second}, false, 250 * ms},
		{"long budget", Class{}, RetryBudget{Window: time.Minute}, false, maxRetryStartDelay},
		{"budget before window", byKey, RetryBudget{Window: time.Second}, false, 250 * ms},
		{"warming engine", Class{}, RetryBudget{}, true, 500 * ms},
		{"window before warming engine", byKey, RetryBudget{}, true, 300 * ms},
	} {
		rules, req, engines := newRetryTest(test.class, true)
		rules.env.config.RetryBudget = test.budget
		rules.env.config.WarmUp.OverloadWindow = 2 * time.Second
		if test.warming {
			engines[2].warmUp.end = rules.env.now + time.Second
		}
		req.attempts = append(req.attempts, &attempt{request: req, engine: engines[2], startedAt: rules.env.now})
		if got := rules.startWithin(req, engines[2]); got != test.want {
			t.Errorf("%s: has to start within %v, want %v", test.name, got, test.want)
		}
	}
}
