package router

// ByKind is an EngineClient that passes each call to the client for the engine's kind, or to Default if there is none.
type ByKind struct {
	Kinds   map[string]EngineClient
	Default EngineClient
}

func (b *ByKind) client(engine Engine) EngineClient {
	if client := b.Kinds[engine.Kind]; client != nil {
		return client
	}
	return b.Default
}

// Start implements EngineClient.
func (b *ByKind) Start(call Call, done func(End)) Attempt {
	return b.client(call.Engine).Start(call, done)
}

// Forget implements EngineClient.
func (b *ByKind) Forget(engine Engine) { b.client(engine).Forget(engine) }

// CancelUnstarted implements EngineClient.
func (b *ByKind) CancelUnstarted(engine Engine) { b.client(engine).CancelUnstarted(engine) }
