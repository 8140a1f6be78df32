// Package kvhttp is the client of the stand-in store. It implements
// platform.Store and platform.HostList over HTTP.
//
// It returns platform.ErrUnavailable only if the call surely had no effect: no
// connection came about, or the store answered so. A write that was sent and
// not answered returns platform.ErrOutcomeUnknown.
package kvhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvwire"
)

const (
	// maxAnswerBytes bounds an answer: a full list of values in base64.
	maxAnswerBytes = 2 << 30
	// maxIdleConns keeps connections for the calls of one process.
	maxIdleConns = 64
)

// Client is safe for concurrent use.
type Client struct {
	base    string
	options Options
	http    *http.Client
}

var (
	_ platform.Store    = (*Client)(nil)
	_ platform.HostList = (*Client)(nil)
)

// New returns a client of the store at a base URL such as http://127.0.0.1:7000.
// It connects at the first call.
func New(baseURL string, options Options) *Client {
	options = options.withDefaults()
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		options: options,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := c.read(ctx, "/v1/kv", url.Values{"key": {key}}, &entry)
	return entry, err
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]platform.Entry, platform.Revision, error) {
	var listing kvwire.ListReply
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, "/v1/list", query, &listing)
	return listing.Entries, listing.Revision, err
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error) {
	changes := kvwire.WatchReply{Revision: after}
	query := url.Values{"prefix": {prefix}, "after": {text(after)}}
	ctx, cancel := context.WithTimeout(ctx, c.options.WatchTimeout)
	defer cancel()
	if err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch", query: query}, &changes); err != nil {
		return nil, after, err
	}
	return changes.Events, changes.Revision, nil
}

// Targets implements platform.HostList.
func (c *Client) Targets(ctx context.Context) ([]platform.Target, error) {
	var targets []platform.Target
	err := c.read(ctx, "/v1/targets", nil, &targets)
	return targets, err
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	var written kvwire.WriteReply
	query := url.Values{"key": {key}, "if": {text(ifRevision)}, "lease": {text(lease)}}
	err := c.write(ctx, request{method: http.MethodPut, path: "/v1/kv", query: query, body: value}, &written)
	return written.Revision, err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, ifRevision platform.Revision) error {
	query := url.Values{"key": {key}, "if": {text(ifRevision)}}
	return c.write(ctx, request{method: http.MethodDelete, path: "/v1/kv", query: query}, &kvwire.WriteReply{})
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var lease kvwire.LeaseReply
	query := url.Values{"ttl": {ttl.String()}}
	err := c.write(ctx, request{method: http.MethodPost, path: "/v1/leases", query: query}, &lease)
	return lease.ID, err
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return c.write(ctx, request{method: http.MethodPost, path: "/v1/leases/" + text(id)}, &kvwire.LeaseReply{})
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.write(ctx, request{method: http.MethodDelete, path: "/v1/leases/" + text(id)}, &kvwire.LeaseReply{})
}

func (c *Client) read(ctx context.Context, path string, query url.Values, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return c.call(ctx, request{method: http.MethodGet, path: path, query: query}, answer)
}

func (c *Client) write(ctx context.Context, r request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	r.writes = true
	return c.call(ctx, r, answer)
}

// call sends a request and decodes its answer.
func (c *Client) call(ctx context.Context, r request, answer any) error {
	sent, httpRequest, err := r.build(ctx, c.base)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return r.failed(sent.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return r.failed(true, err)
	}
	if response.StatusCode != http.StatusOK {
		return r.refused(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return r.failed(true, err)
	}
	return nil
}

func text[T ~int64](n T) string { return strconv.FormatInt(int64(n), 10) }
