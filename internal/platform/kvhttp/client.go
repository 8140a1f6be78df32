// Package kvhttp is the client of the stand-in store. It implements
// platform.Store and platform.HostList over HTTP.
//
// It returns platform.ErrUnavailable for a write only if the write certainly had no
// effect: no connection could be established, or the store said so. A write that
// was sent and not answered returns platform.ErrOutcomeUnknown.
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

	"corianderhitch/internal/httpanswer"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvwire"
)

const (
	// maxReplyBytes limits a reply: a full list of values in base64.
	maxReplyBytes = 2 << 30
	// maxHeadBytes limits the heads of a reply.
	maxHeadBytes = 64 << 10
	// maxIdleConns is the number of idle connections kept for concurrent calls.
	maxIdleConns = 64
)

// Client calls a stand-in store. It is safe for concurrent use.
type Client struct {
	baseURL string
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
		baseURL: strings.TrimSuffix(baseURL, "/"),
		options: options,
		http: &http.Client{Transport: httpanswer.Transport{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := c.read(ctx, "/v1/kv", url.Values{"key": {key}}, &entry)
	return entry, err
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]platform.Entry, platform.Revision, error) {
	var reply kvwire.ListReply
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, "/v1/list", query, &reply)
	return reply.Entries, reply.Revision, err
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error) {
	reply := kvwire.WatchReply{Revision: after}
	query := url.Values{"prefix": {prefix}, "after": {formatInt(after)}}
	ctx, cancel := context.WithTimeout(ctx, c.options.WatchTimeout)
	defer cancel()
	if err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch", query: query}, &reply); err != nil {
		return nil, after, err
	}
	return reply.Events, reply.Revision, nil
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
	var reply kvwire.WriteReply
	query := url.Values{"key": {key}, "if": {formatInt(ifRevision)}, "lease": {formatInt(lease)}}
	err := c.write(ctx, request{method: http.MethodPut, path: "/v1/kv", query: query, body: value}, &reply)
	return reply.Revision, err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, ifRevision platform.Revision) error {
	query := url.Values{"key": {key}, "if": {formatInt(ifRevision)}}
	return c.write(ctx, request{method: http.MethodDelete, path: "/v1/kv", query: query}, &kvwire.WriteReply{})
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var reply kvwire.LeaseReply
	query := url.Values{"ttl": {ttl.String()}}
	err := c.write(ctx, request{method: http.MethodPost, path: "/v1/leases", query: query}, &reply)
	return reply.ID, err
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return c.write(ctx, request{method: http.MethodPost, path: "/v1/leases/" + formatInt(id)}, &kvwire.LeaseReply{})
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.write(ctx, request{method: http.MethodDelete, path: "/v1/leases/" + formatInt(id)}, &kvwire.LeaseReply{})
}

func (c *Client) read(ctx context.Context, path string, query url.Values, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return c.call(ctx, request{method: http.MethodGet, path: path, query: query}, reply)
}

func (c *Client) write(ctx context.Context, r request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	r.isWrite = true
	return c.call(ctx, r, reply)
}

// call sends a request and decodes its reply.
func (c *Client) call(ctx context.Context, r request, reply any) error {
	sent, httpRequest, err := r.newHTTPRequest(ctx, c.baseURL)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return r.transportError(sent.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return r.transportError(true, err)
	}
	if response.StatusCode != http.StatusOK {
		return r.responseError(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return r.transportError(true, err)
	}
	return nil
}

func formatInt[T ~int64](n T) string { return strconv.FormatInt(int64(n), 10) }
