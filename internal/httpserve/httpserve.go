// Package httpserve runs HTTP servers while a process does its work, and limits their connections.
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

	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/refusal"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultCloseTimeout  = 2 * time.Second
	defaultHeaderBytes   = 64 << 10
	// idleCloseTimeout limits the time in which idle connections are closed at the end.
	idleCloseTimeout = 200 * time.Millisecond
	// sweepInterval is the time between two checks for connections that exceed the limits of Listener.Limits.
	sweepInterval = 250 * time.Millisecond
)

// Listener configures one address and what is served there.
type Listener struct {
	// Address is an IP address and port.
	Address string
	// Net is an open listener to use instead of Address. Serve closes it.
	Net net.Listener
	// Handler handles requests.
	Handler http.Handler
	// TLS is the TLS configuration; nil for plain connections.
	TLS *tls.Config
	// HeaderTimeout limits the time of a TLS handshake and of a request's header; 5 seconds if zero.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle; two minutes if zero.
	IdleTimeout time.Duration
	// Limits returns the current header and idle timeouts, for limits that change while the server runs. For a zero
	// value HeaderTimeout or IdleTimeout applies; if Limits is nil, they always do.
	Limits func() (header, idle time.Duration)
	// MaxHeaderBytes is the maximum length of a header; 64 KiB if zero.
	MaxHeaderBytes int
	// MaxHead returns the maximum length of a head as it is received, with the empty lines before it; 0 means no limit
	// beyond MaxHeaderBytes. It may be nil.
	MaxHead func() int
	// Account limits the memory of heads that are being read; it may be nil.
	Account *ingress.Account
	// WriteTimeout limits the time of an answer; no limit if zero. Handlers may set deadlines of their own.
	WriteTimeout time.Duration
	// UnusedTime is for how long a connection without a request is kept open while MaxConns connections are open; the one
	// that has waited longest is closed first. Zero means that none is closed. With KeepUsed, only connections on which
	// nothing was ever received are closed.
	UnusedTime time.Duration
	KeepUsed   bool
	// MaxConns is the maximum number of connections that are served at a time; 0 means no limit. Further connections
	// are reset if Reopen is set, and wait in the kernel's queue otherwise.
	MaxConns int
	// MaxKeepAliveConns is the number of open connections from which on each answer closes its connection; 0 means
	// never.
	MaxKeepAliveConns int
	// Saturated reports whether the process has no processor time for new connections, and ConnsPerSecond is how many
	// it has time for. Beyond that, most new connections are reset. Nil and 0 mean no limit.
	Saturated      func() bool
	ConnsPerSecond float64
	// Busy reports whether only half as many connections are to be accepted; it may be nil.
	Busy func() bool
	// Reopen opens the listener again after it was closed to reset connections. It is retried until it succeeds. If it
	// is nil, no connections are reset, and Saturated and ConnsPerSecond have no effect.
	Reopen func() (net.Listener, error)
	// ShedStarted is called each time that new connections start to be reset; it may be nil.
	ShedStarted func()
	// ShedEnded is called when they are accepted again, with the time for which they were reset; it may be nil.
	ShedEnded func(time.Duration)
	// CloseTimeout limits the wait for open requests once the work has ended; two seconds if zero.
	CloseTimeout time.Duration
	// Refusals records refused connections and requests; it may be nil.
	Refusals *refusal.Recorder
}

// Run serves h at address while work runs. work must return once ctx has ended and everything in progress is done; the
// listener stays open until then.
func Run(ctx context.Context, address string, h http.Handler, work func(context.Context) error) error {
	return Serve(ctx, work, Listener{Address: address, Handler: h})
}

// Serve is Run for several listeners. If one cannot be opened, none is served.
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

// server is the server of one Listener.
type server struct {
	ln      net.Listener
	srv     *http.Server
	watcher *watcher
	// limits returns the current header and idle timeouts; nil if net/http enforces fixed ones.
	limits func() (header, idle time.Duration)
	// closeTimeout limits the wait for open requests.
	closeTimeout time.Duration
	// served receives the result of http.Server.Serve.
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
	w := newWatcher(l.Refusals, l.MaxKeepAliveConns)
	if l.MaxConns > 0 || l.Reopen != nil || l.MaxHead != nil || l.Account != nil {
		cl := newConnLimiter(ln, l)
		cl.measure = func() *headMeter { return newHeadMeter(l) }
		if l.UnusedTime > 0 {
			cl.makeRoom = func() bool { return w.closeUnused(time.Now(), l.UnusedTime, l.KeepUsed) }
		}
		ln = cl
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
	srv := &http.Server{
		WriteTimeout:   l.WriteTimeout,
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
	// Shutdown would close idle connections also while a request waits to be read from them.
	s.watcher.closeIdle(min(idleCloseTimeout, s.closeTimeout))
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
