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
	// maxConcurrentReads is the most processes that are read at once.
	maxConcurrentReads = 64
	// maxReportBytes is the most bytes that are read of one report.
	maxReportBytes = 4 << 20
)

// Reader fetches the status reports of processes over HTTP.
type Reader struct {
	hc     *http.Client
	scheme string
}

// NewReader returns a reader that waits up to limit for each process. With a nil cfg it connects without TLS, and to
// loopback addresses only.
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

// Read fetches the reports of the processes at all addresses. It returns the reports and the processes that gave none,
// both in the order of addresses.
func (r *Reader) Read(ctx context.Context, addresses []string) ([]Report, []Missing) {
	reports := make([]Report, len(addresses))
	errs := make([]error, len(addresses))
	sem := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, address := range addresses {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			reports[i], errs[i] = r.readOne(ctx, address)
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

func (r *Reader) readOne(ctx context.Context, address string) (Report, error) {
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&out)
	return out, err
}
