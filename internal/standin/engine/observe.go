package engine

// Observer is told what an engine does. It is called from many goroutines.
type Observer interface {
	// Started is called when a request enters the batch.
	Started(p Prompt)
	// Token is called for each token that was generated.
	Token(p Prompt)
	// Ended is called when a request leaves the batch.
	Ended(p Prompt)
}

// observer returns the engine's observer, or one that does nothing.
func (e *Engine) observer() Observer {
	if e.o.Observer == nil {
		return blind{}
	}
	return e.o.Observer
}

// blind is an observer that does nothing.
type blind struct{}

func (blind) Started(Prompt) {}
func (blind) Token(Prompt)   {}
func (blind) Ended(Prompt)   {}
