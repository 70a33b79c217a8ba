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

// security authenticates the connections between processes as a process's settings require.
type security struct {
	logger   *event.Logger
	refusals *refusal.Recorder
	// linkKeys secure the connections between processes; nil without TLS.
	linkKeys *keys.Keys
	// watchedKeys are reloaded when their files change.
	watchedKeys []*keys.Keys
	authorizer  *keys.Gate
}

func newSecurity(logger *event.Logger, t *settings.TLS) (*security, error) {
	s := &security{logger: logger, refusals: refusal.New(logger)}
	s.authorizer = keys.NewGate(t != nil, func(r *http.Request, err error) {
		s.refusals.Record(refusal.Role, r.RemoteAddr, err)
	})
	if t == nil {
		return s, nil
	}
	k, err := s.load(*t)
	s.linkKeys = k
	return s, err
}

// load reads keys and adds them to watchedKeys.
func (s *security) load(t settings.TLS) (*keys.Keys, error) {
	k, err := keys.Load(keys.Options{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority})
	if err != nil {
		return nil, err
	}
	s.watchedKeys = append(s.watchedKeys, k)
	return k, nil
}

// client returns the configuration of connections to processes with one of the roles; nil without TLS.
func (s *security) client(roles ...keys.Role) *tls.Config {
	if s.linkKeys == nil {
		return nil
	}
	return s.linkKeys.Client(roles...)
}

// server returns the configuration of a listener for clients with one of the roles; nil without TLS.
func (s *security) server(roles ...keys.Role) *tls.Config {
	if s.linkKeys == nil {
		return nil
	}
	return s.linkKeys.Server(true, roles...)
}

func (s *security) collectors() []prometheus.Collector {
	if s.linkKeys == nil {
		return nil
	}
	return []prometheus.Collector{s.linkKeys}
}

// withKeyWatch wraps work so that changed key files are reloaded and expiring certificates logged while it runs.
func (s *security) withKeyWatch(work func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		watch, cancel := context.WithCancel(context.WithoutCancel(ctx))
		var wg sync.WaitGroup
		for _, k := range s.watchedKeys {
			wg.Go(func() { k.Watch(watch, keysPollInterval, s.logReload) })
			wg.Go(func() { s.watchExpiry(watch, k) })
		}
		err := work(ctx)
		cancel()
		wg.Wait()
		return err
	}
}

func (s *security) logReload(err error) {
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
