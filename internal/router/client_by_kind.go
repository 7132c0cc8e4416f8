package router

// ClientByKind is an EngineClient that delegates to the client for the engine's kind, or to Default if Clients has none
// for it.
type ClientByKind struct {
	Clients map[string]EngineClient
	Default EngineClient
}

func (b *ClientByKind) client(engine Engine) EngineClient {
	if client := b.Clients[engine.Kind]; client != nil {
		return client
	}
	return b.Default
}

// Start implements EngineClient.
func (b *ClientByKind) Start(call Call, done func(End)) Attempt {
	return b.client(call.Engine).Start(call, done)
}

// Forget implements EngineClient.
func (b *ClientByKind) Forget(engine Engine) { b.client(engine).Forget(engine) }

// CancelUnstarted implements EngineClient.
func (b *ClientByKind) CancelUnstarted(engine Engine) { b.client(engine).CancelUnstarted(engine) }
