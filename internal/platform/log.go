// Package platform contains HTTP clients of the platform's services: its append-only log and its VM list.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Log is a client of the platform's log service.
type Log struct {
	address string
	hc      *http.Client
}

var _ laburnumring.Log = (*Log)(nil)

// callTimeout is the timeout of one call, in addition to the time for which a read waits for new records.
const callTimeout = 5 * time.Second

// maxResponseBytes is the most bytes that are read of a response.
const maxResponseBytes = 32 << 20

// NewLog returns a client of the log service at address. It counts its traffic in c.
func NewLog(address string, c *traffic.Counter) *Log {
	return &Log{address: address, hc: &http.Client{Transport: c.Transport()}}
}

// Append implements laburnumring.LogAppender.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply laburnumring.Record
	err := l.call(ctx, http.MethodPost, l.path(stream, nil), data, &reply)
	return reply.Offset, err
}

// Read implements laburnumring.LogReader.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait clock.Millis) (laburnumring.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait.Duration())
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	var page laburnumring.Page
	err := l.call(ctx, http.MethodGet, l.path(stream, q), nil, &page)
	return page, err
}

func (l *Log) path(stream string, q url.Values) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records?" + q.Encode()
}

func (l *Log) call(ctx context.Context, method, path string, body []byte, reply any) error {
	return call(ctx, l.hc, method, "http://"+l.address+path, body, reply)
}

func call(ctx context.Context, hc *http.Client, method, target string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	resp, err := hc.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, target, resp.StatusCode)
	}
	return json.Unmarshal(data, reply)
}
