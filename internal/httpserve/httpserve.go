// Package httpserve runs an HTTP server around a process's work.
package httpserve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 2 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Run serves h at address while work runs. work returns when ctx ends and everything in progress is done;
// the listener stays open until then.
func Run(ctx context.Context, address string, h http.Handler, work func(context.Context) error) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	workErr := work(ctx)
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := srv.Shutdown(closing); err != nil {
		_ = srv.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Join(workErr, err)
	}
	return workErr
}
