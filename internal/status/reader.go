package status

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring/internal/peer"
)

const (
	// maxReaders is how many processes are asked at once.
	maxReaders = 64
	// maxReport bounds one report in bytes.
	maxReport = 4 << 20
)

// Reader asks processes for their reports.
type Reader struct {
	hc     *http.Client
	scheme string
}

// NewReader returns a reader that waits up to limit for each process. A nil cfg means no TLS, on loopback only.
func NewReader(cfg *tls.Config, limit time.Duration) *Reader {
	r := &Reader{scheme: "https", hc: &http.Client{
		Timeout: limit,
		Transport: &http.Transport{
			TLSClientConfig:   cfg,
			DialContext:       peer.Dialer(cfg, limit).DialContext,
			DisableKeepAlives: true,
		},
	}}
	if cfg == nil {
		r.scheme = "http"
	}
	return r
}

// Read asks all addresses and returns the reports and the processes without one, in the order of addresses.
func (r *Reader) Read(ctx context.Context, addresses []string) ([]Report, []Missing) {
	reports := make([]Report, len(addresses))
	errs := make([]error, len(addresses))
	slots := make(chan struct{}, maxReaders)
	var wg sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			reports[i], errs[i] = r.one(ctx, address)
		})
	}
	wg.Wait()
	var got []Report
	missing := []Missing{}
	for i, address := range addresses {
		if errs[i] != nil {
			missing = append(missing, Missing{Address: address, Problem: errs[i].Error()})
			continue
		}
		got = append(got, reports[i])
	}
	return got, missing
}

func (r *Reader) one(ctx context.Context, address string) (Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.scheme+"://"+address+Path, http.NoBody)
	if err != nil {
		return Report{}, err
	}
	resp, err := r.hc.Do(req)
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	var out Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&out)
	return out, err
}
