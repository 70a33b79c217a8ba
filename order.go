package laburnumring

import "context"

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order.
const (
	// LoadModel loads the named model.
	LoadModel OrderKind = "load_model"
	// LoadAdapter loads the named adapter.
	LoadAdapter OrderKind = "load_adapter"
	// SetRole makes the engine take the named role.
	SetRole OrderKind = "set_role"
)

// Order is a command that changes the state of a model engine.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Name is the name of the model, adapter or role.
	Name string `json:"name"`
	// Version is the version of the model or adapter; it may be empty.
	Version string `json:"version,omitempty"`
}

// Orderer sends orders to one model engine.
type Orderer interface {
	// Order executes o with a fencing number, which the engine may check.
	Order(ctx context.Context, fence int64, o Order) error
}
