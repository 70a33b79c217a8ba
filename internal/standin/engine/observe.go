package engine

// Observer is notified of an engine's work. Its methods are called concurrently.
type Observer interface {
	// Started is called when a request enters the batch.
	Started(p Prompt)
	// Token is called for each generated token, before it is sent.
	Token(p Prompt)
	// Ended is called when a request leaves the batch.
	Ended(p Prompt)
}

// observer returns the configured observer, or a no-op one.
func (e *Engine) observer() Observer {
	if e.opts.Observer == nil {
		return nopObserver{}
	}
	return e.opts.Observer
}

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) Started(Prompt) {}
func (nopObserver) Token(Prompt)   {}
func (nopObserver) Ended(Prompt)   {}
