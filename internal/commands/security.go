package commands

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/refusal"
	"github.com/laburnumring/laburnumring/internal/settings"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	keysPollInterval  = 5 * time.Second
	expiryLogInterval = 1 * time.Hour
	expiryWarning     = 7 * 24 * 60 * clock.Minute
)

// security is what a process's settings say of the links between processes.
type security struct {
	logger   *event.Logger
	refusals *refusal.Recorder
	// own are the keys of the links between processes; nil when there is no TLS.
	own *keys.Keys
	// all are watched for changes.
	all  []*keys.Keys
	gate *keys.Gate
}

func newSecurity(logger *event.Logger, t *settings.TLS) (*security, error) {
	s := &security{logger: logger, refusals: refusal.New(logger)}
	s.gate = keys.NewGate(t != nil, func(r *http.Request, err error) {
		s.refusals.Record(refusal.Role, r.RemoteAddr, err)
	})
	if t == nil {
		return s, nil
	}
	k, err := s.load(*t)
	s.own = k
	return s, err
}

// load reads keys and has them watched.
func (s *security) load(t settings.TLS) (*keys.Keys, error) {
	k, err := keys.Load(keys.Options{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority})
	if err != nil {
		return nil, err
	}
	s.all = append(s.all, k)
	return k, nil
}

// client returns the configuration towards holders of one of the roles; nil when there is no TLS.
func (s *security) client(roles ...keys.Role) *tls.Config {
	if s.own == nil {
		return nil
	}
	return s.own.Client(roles...)
}

// server returns the configuration of a listener for holders of one of the roles; nil when there is no TLS.
func (s *security) server(roles ...keys.Role) *tls.Config {
	if s.own == nil {
		return nil
	}
	return s.own.Server(true, roles...)
}

func (s *security) collectors() []prometheus.Collector {
	if s.own == nil {
		return nil
	}
	return []prometheus.Collector{s.own}
}

// watched returns work beside which changed keys are read again.
func (s *security) watched(work func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		watch, cancel := context.WithCancel(context.WithoutCancel(ctx))
		var wg sync.WaitGroup
		for _, k := range s.all {
			wg.Go(func() { k.Watch(watch, keysPollInterval, s.reloaded) })
			wg.Go(func() { s.watchExpiry(watch, k) })
		}
		err := work(ctx)
		cancel()
		wg.Wait()
		return err
	}
}

func (s *security) reloaded(err error) {
	if err != nil {
		s.logger.Log(event.KeysUnusable, "error", err)
		return
	}
	s.logger.Log(event.KeysReloaded)
}

func (s *security) watchExpiry(ctx context.Context, k *keys.Keys) {
	t := time.NewTicker(expiryLogInterval)
	defer t.Stop()
	for {
		if left := k.Remaining(); left < expiryWarning {
			s.logger.Log(event.KeysExpiring, "remaining", left.Duration().String())
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
