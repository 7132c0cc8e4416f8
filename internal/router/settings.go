package router

import (
	"fmt"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// settings are the parts of the dispatch configuration that the core itself uses. A value is immutable after
// newSettings has returned it; a changed configuration replaces it.
type settings struct {
	classes     map[string]dispatch.Class
	tenants     map[string]bool // if empty, requests may name any tenant
	maxAttempts int             // attempts of a request; 0 for no limit
	// progressIntervalMS is the time between progress reports of outstanding attempts; 0 if engines send none.
	progressIntervalMS float64
	exclusive          bool // no two attempts of a request may be outstanding at the same time
	cancelAllowed      bool // engines may be requested to cancel attempts
	// maxRetryAfterMS is the largest Retry-After that clients honour; 0 if they honour none.
	maxRetryAfterMS float64
}

func newSettings(cfg dispatch.Config) *settings {
	result := &settings{
		classes:            make(map[string]dispatch.Class, len(cfg.Classes)),
		tenants:            make(map[string]bool, len(cfg.Tenants)),
		maxAttempts:        cfg.MaxAttempts,
		progressIntervalMS: clock.Millis(cfg.Features.ProgressInterval),
		exclusive:          !cfg.HedgingAllowed,
		cancelAllowed:      cfg.CancelAllowed,
	}
	for _, class := range cfg.Classes {
		result.classes[class.Name] = class
	}
	for _, tenant := range cfg.Tenants {
		result.tenants[tenant.Name] = true
	}
	if cfg.RetryAfter.Allowed {
		result.maxRetryAfterMS = clock.Millis(cfg.RetryAfter.Max)
	}
	return result
}

// checkNames returns a FieldError if the class or the tenant of a request is not configured.
func (s *settings) checkNames(request *Request) error {
	if _, ok := s.classes[request.Class]; !ok {
		return &FieldError{Field: FieldClass, Err: fmt.Errorf("unknown class %q", truncate(request.Class))}
	}
	if request.Tenant != "" && len(s.tenants) > 0 && !s.tenants[request.Tenant] {
		return &FieldError{Field: FieldTenant, Err: fmt.Errorf("unknown tenant %q", truncate(request.Tenant))}
	}
	return nil
}

// retryAfter returns a Retry-After in milliseconds, limited to what clients honour.
func (s *settings) retryAfter(ms float64) float64 { return min(ms, s.maxRetryAfterMS) }
