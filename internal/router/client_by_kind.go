package router

// ByKind hands each call to the client of its engine's kind, or to Other.
type ByKind struct {
	Kinds   map[string]EngineClient
	Default EngineClient
}

func (m *ByKind) client(e Engine) EngineClient {
	if c := m.Kinds[e.Kind]; c != nil {
		return c
	}
	return m.Default
}

// Start implements EngineClient.
func (m *ByKind) Start(call Call, done func(End)) Attempt {
	return m.client(call.Engine).Start(call, done)
}

// Forget implements EngineClient.
func (m *ByKind) Forget(e Engine) { m.client(e).Forget(e) }

// CancelUnstarted implements EngineClient.
func (m *ByKind) CancelUnstarted(e Engine) { m.client(e).CancelUnstarted(e) }
