package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
)

const (
	// FenceHeader carries the fencing number of an order.
	FenceHeader = "Fencing-Number"
	// OrdersPath is the path on which a model engine accepts orders.
	OrdersPath = "/v1/orders"
)

var _ laburnumring.Orderer = (*Model)(nil)

// Order implements laburnumring.Orderer. Its errors are of type *IncompleteError or *StatusError.
func (m *Model) Order(ctx context.Context, fence int64, o laburnumring.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errorx.Decorate(err, "encode order")
	}
	h := http.Header{}
	h.Set(FenceHeader, strconv.FormatInt(fence, 10))
	r := laburnumring.BackendRequest{ContentType: "application/json", Body: body}
	resp, err := m.send(ctx, http.MethodPost, OrdersPath, r, h)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Address: m.address, Status: resp.StatusCode}
	}
	return nil
}
