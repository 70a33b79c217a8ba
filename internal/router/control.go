package router

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/status"
)

// ControlHandler returns the handler of the operators' control interface, which serves metrics and status.
func (r *Router) ControlHandler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", r.metricsHandler())
	m.HandleFunc(status.Path, r.serveStatus).Methods(http.MethodGet)
	return r.o.Gate.Allow(m, keys.Operator)
}

func (r *Router) metricsHandler() http.Handler {
	return promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})
}
