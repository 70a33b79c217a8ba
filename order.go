package laburnumring

import "context"

// OrderKind says what an order changes.
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

// Order is a change to a model engine.
type Order struct {
	// Kind is one of the constants.
	Kind OrderKind `json:"kind"`
	// Name is the name of the model, adapter or role.
	Name string `json:"name"`
	// Version is the version of the model or adapter; it may be empty.
	Version string `json:"version,omitempty"`
}

// Orderer gives orders to one model engine.
type Orderer interface {
	// Order carries out o under a fencing number, which the engine may check.
	Order(ctx context.Context, fence int64, o Order) error
}
