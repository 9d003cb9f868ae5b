package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// VersionHeader carries an entry's version in both directions.
const VersionHeader = "X-Version"

const maxAnswer = 4 << 20

// Client speaks to the platform over HTTP. It implements [KV] and [Directory].
type Client struct {
	Base string       // URL of the service, without a trailing slash
	HTTP *http.Client // nil: http.DefaultClient
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.entry(ctx, http.MethodGet, "/kv/"+url.PathEscape(key), 0, nil)
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, key string, version uint64) (Entry, error) {
	path := "/kv/" + url.PathEscape(key) + "?after=" + strconv.FormatUint(version, 10)
	return c.entry(ctx, http.MethodGet, path, 0, nil)
}

// CompareAndSwap implements KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	e, err := c.entry(ctx, http.MethodPut, "/kv/"+url.PathEscape(key), version, value)
	return e.Version, err
}

// Acquire implements KV.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	query := url.Values{"holder": {holder}, "ttl": {ttl.String()}}
	path := "/leases/" + url.PathEscape(name) + "?" + query.Encode()
	body, _, err := c.call(ctx, http.MethodPost, path, 0, nil)
	if errors.Is(err, ErrConflict) {
		return Lease{}, errors.Wrapf(ErrHeld, "kv: acquire %s", name)
	}
	if err != nil {
		return Lease{}, err
	}
	var l Lease
	if err := json.Unmarshal(body, &l); err != nil {
		return Lease{}, errors.Wrapf(err, "kv: acquire %s", name)
	}
	return l, nil
}

// Hosts implements Directory.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	body, _, err := c.call(ctx, http.MethodGet, "/hosts", 0, nil)
	if err != nil {
		return nil, err
	}
	var hosts []Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, errors.Wrap(err, "kv: list hosts")
	}
	return hosts, nil
}

func (c *Client) entry(ctx context.Context, method, path string, version uint64, value []byte) (Entry, error) {
	body, now, err := c.call(ctx, method, path, version, value)
	return Entry{Value: body, Version: now}, err
}

func (c *Client) call(ctx context.Context, method, path string, version uint64, value []byte) ([]byte, uint64, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(value))
	if err != nil {
		return nil, 0, errors.Wrapf(err, "kv: %s %s", method, path)
	}
	// Go's transport would send a request with a replayable body again over a
	// new connection; a write must go out at most once.
	request.GetBody = nil
	request.Header.Set(VersionHeader, strconv.FormatUint(version, 10))
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "kv: %s %s", method, path)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, 0, errors.Wrapf(err, "kv: %s %s", method, path)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotFound:
		now, _ := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
		return body, now, nil
	case http.StatusConflict:
		return nil, 0, errors.Wrapf(ErrConflict, "kv: %s %s", method, path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, 0, errors.Wrapf(ErrUnavailable, "kv: %s %s", method, path)
	default:
		return nil, 0, errors.Newf("kv: %s %s: status %d", method, path, response.StatusCode)
	}
}
