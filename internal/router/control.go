package router

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/laburnumring/laburnumring/internal/keys"
)

// ControlHandler returns the operators' interface.
func (r *Router) ControlHandler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{}))
	return r.o.Gate.Allow(m, keys.Operator)
}
