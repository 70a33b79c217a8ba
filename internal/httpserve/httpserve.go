// Package httpserve runs an HTTP server around a process's work.
package httpserve

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/refusal"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultCloseTimeout  = 2 * time.Second
	defaultHeaderBytes   = 64 << 10
	// sweepInterval is the time between two looks at connections that pass limits which may change.
	sweepInterval = 250 * time.Millisecond
)

// Listener is one address and what is served there.
type Listener struct {
	// Address is an IP address and port.
	Address string
	// Net is an open listener to use in place of Address; it is closed at the end.
	Net net.Listener
	// Handler answers requests.
	Handler http.Handler
	// TLS is nil for plain connections.
	TLS *tls.Config
	// HeaderTimeout is the longest that a TLS handshake or a request's header may take; 5 seconds when zero.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle; two minutes when zero.
	IdleTimeout time.Duration
	// Limits returns both as they are now, in place of the fixed ones; nil when they stay. A zero one is the fixed one.
	Limits func() (header, idle time.Duration)
	// MaxHeaderBytes is the longest header; 64 KiB when zero.
	MaxHeaderBytes int
	// MaxConns is the most connections that are served at a time, others wait unaccepted; 0 for no bound.
	MaxConns int
	// SoftConns is from how many open connections on each answer ends its connection; 0 for never.
	SoftConns int
	// Full reports whether the process has no time for new connections, and ConnsPerSecond is how many it has time for;
	// beyond that most are reset. Nil and 0 are for no bound.
	Full           func() bool
	ConnsPerSecond float64
	// Busy reports whether half as many are to be taken; it may be nil.
	Busy func() bool
	// Reopen opens the listener again; both need it. It is tried until it succeeds.
	Reopen func() (net.Listener, error)
	// Refusing is told each time that new connections begin to be reset; it may be nil.
	Refusing func()
	// Refused is told afterwards for how long; it may be nil.
	Refused func(time.Duration)
	// CloseTimeout is how long open requests are waited for when the work has ended; two seconds when zero.
	CloseTimeout time.Duration
	// Refusals takes connections and requests that are refused; it may be nil.
	Refusals *refusal.Recorder
}

// Run serves h at address while work runs. work returns when ctx ends and everything in progress is done;
// the listener stays open until then.
func Run(ctx context.Context, address string, h http.Handler, work func(context.Context) error) error {
	return Serve(ctx, work, Listener{Address: address, Handler: h})
}

// Serve is Run for several listeners. None is served when one cannot be opened.
func Serve(ctx context.Context, work func(context.Context) error, listeners ...Listener) error {
	servers := make([]*server, 0, len(listeners))
	for _, l := range listeners {
		s, err := open(l)
		if err != nil {
			for _, s := range servers {
				_ = s.ln.Close()
			}
			return err
		}
		servers = append(servers, s)
	}
	sweeping, stop := context.WithCancel(context.WithoutCancel(ctx))
	var sweeps sync.WaitGroup
	for _, s := range servers {
		go func() { s.served <- s.srv.Serve(s.ln) }()
		if s.limits != nil {
			sweeps.Go(func() { interval.Every(sweeping, sweepInterval, func() { s.watcher.sweep(time.Now(), s.limits) }) })
		}
	}
	workErr := work(ctx)
	stop()
	sweeps.Wait()
	return errors.Join(workErr, closeAll(servers))
}

func closeAll(servers []*server) error {
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.close())
	}
	return errors.Join(errs...)
}

func (l Listener) listen() (net.Listener, error) {
	if l.Net != nil {
		return l.Net, nil
	}
	ln, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen")
	}
	return ln, nil
}

// server is one open listener.
type server struct {
	ln      net.Listener
	srv     *http.Server
	watcher *watcher
	// limits returns the limits of connections; nil when the server keeps them itself.
	limits func() (header, idle time.Duration)
	// closeTimeout bounds the wait for open requests.
	closeTimeout time.Duration
	// served gets the result of serving.
	served chan error
}

func open(l Listener) (*server, error) {
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.CloseTimeout == 0 {
		l.CloseTimeout = defaultCloseTimeout
	}
	ln, err := l.listen()
	if err != nil {
		return nil, err
	}
	if l.MaxConns > 0 || l.Reopen != nil {
		ln = newGate(ln, l)
	}
	if l.TLS != nil {
		ln = tls.NewListener(ln, l.TLS)
	}
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	limits := l.Limits
	if limits != nil {
		limits = func() (time.Duration, time.Duration) {
			header, idle := l.Limits()
			return cmp.Or(header, l.HeaderTimeout), cmp.Or(idle, l.IdleTimeout)
		}
	}
	w := newWatcher(l.Refusals, l.SoftConns)
	srv := &http.Server{
		Handler:        w.wrap(l.Handler),
		MaxHeaderBytes: l.MaxHeaderBytes,
		ErrorLog:       w.errorLog(),
		ConnState:      w.connState,
		ConnContext:    w.connContext,
	}
	if limits == nil {
		srv.ReadHeaderTimeout, srv.IdleTimeout = l.HeaderTimeout, l.IdleTimeout
	}
	return &server{
		ln: ln, srv: srv, watcher: w, limits: limits, served: make(chan error, 1), closeTimeout: l.CloseTimeout,
	}, nil
}

func (s *server) close() error {
	closing, cancel := context.WithTimeout(context.Background(), s.closeTimeout)
	defer cancel()
	if err := s.srv.Shutdown(closing); err != nil {
		_ = s.srv.Close()
	} else {
		s.watcher.open.Wait()
	}
	if err := <-s.served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
