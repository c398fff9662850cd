package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/silverdeck/silverdeck/jsonsplit"
	"github.com/silverdeck/silverdeck/responsehead"
)

// Config holds a Client's settings.
type Config struct {
	// URLs are the platform's base URLs, tried in turn.
	URLs []string
	// HTTP makes the calls.
	HTTP *http.Client
	// Timeout limits a call that does not wait.
	Timeout time.Duration
	// Wait is how long the platform may hold a watch.
	Wait time.Duration
	// Reads and Writes are this process's share of the platform's rates, in
	// calls a second.
	Reads, Writes float64
}

// Option changes a Config.
type Option func(*Config)

// WithHTTP sets the HTTP client.
func WithHTTP(c *http.Client) Option {
	return func(cfg *Config) { cfg.HTTP = c }
}

// WithShare sets the process's share of the platform's reads and writes a second.
func WithShare(reads, writes float64) Option {
	return func(cfg *Config) { cfg.Reads, cfg.Writes = reads, writes }
}

// burst is how many calls may come at once before a share holds them back.
const burst = 10

// maxAnswer bounds what is read of one answer, in bytes.
const maxAnswer = 16 << 20

// Client is a Store and a Lister over HTTP. It is safe for concurrent use.
type Client struct {
	cfg    Config
	reads  *rate.Limiter
	writes *rate.Limiter
	next   atomic.Uint64
	// unreadable counts VMs that could not be decoded; see Unreadable.
	unreadable atomic.Int64
}

// Unreadable returns the number of VMs in lists that were left out because they could not be decoded.
func (c *Client) Unreadable() int64 {
	return c.unreadable.Load()
}

// NewClient returns a Client of the platform at urls.
func NewClient(urls []string, opts ...Option) *Client {
	cfg := Config{
		URLs:    urls,
		HTTP:    &http.Client{Transport: responsehead.DefaultTransport()},
		Timeout: 2 * time.Second,
		Wait:    20 * time.Second,
		Reads:   5,
		Writes:  1,
	}
	for _, o := range opts {
		o(&cfg)
	}
	return &Client{
		cfg:    cfg,
		reads:  rate.NewLimiter(rate.Limit(cfg.Reads), burst),
		writes: rate.NewLimiter(rate.Limit(cfg.Writes), burst),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.read(ctx, key, "")
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, version int64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Wait+c.cfg.Timeout)
	defer cancel()
	return c.read(ctx, key, c.watchQuery("watch", version))
}

// WatchVMs implements Lister.
func (c *Client) WatchVMs(ctx context.Context, version int64) (VMList, error) {
	var l VMList
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Wait+c.cfg.Timeout)
	defer cancel()
	resp, b, err := c.call(ctx, c.reads, http.MethodGet, "/v1/vms"+c.watchQuery("after", version), nil, nil)
	if err != nil {
		return l, &UnavailableError{Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return l, &UnchangedError{}
	default:
		return l, &UnavailableError{Err: statusError(resp)}
	}
	l, unreadable, err := decodeVMList(b)
	if err != nil {
		return l, &UnavailableError{Err: err}
	}
	c.unreadable.Add(int64(unreadable))
	return l, nil
}

// decodeVMList decodes a list of VMs. It leaves out those that can't be decoded or have no name, and returns their
// number.
func decodeVMList(data []byte) (l VMList, unreadable int, err error) {
	var vms json.RawMessage
	if err := jsonsplit.Decode(data, map[string]any{"version": &l.Version, "vms": &vms}); err != nil {
		return VMList{}, 0, err
	}
	if len(vms) == 0 || string(vms) == "null" {
		return l, 0, nil
	}
	parts, err := jsonsplit.Array(vms)
	if err != nil {
		return VMList{}, 0, err
	}
	for _, part := range parts {
		var vm VM
		if json.Unmarshal(part, &vm) != nil || vm.Name == "" {
			unreadable++
			continue
		}
		l.VMs = append(l.VMs, vm)
	}
	return l, unreadable, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	h := http.Header{}
	if version == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", etag(version))
	}
	resp, _, err := c.call(ctx, c.writes, http.MethodPut, objectPath(key), h, data)
	if err != nil {
		var limited *limitError
		return 0, &UnavailableError{Taken: !errors.As(err, &limited), Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return parseETag(resp.Header.Get("ETag"))
	case http.StatusPreconditionFailed:
		return 0, &ConflictError{Key: key}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, &UnavailableError{Err: statusError(resp)}
	}
	return 0, &UnavailableError{Taken: resp.StatusCode >= http.StatusInternalServerError, Err: statusError(resp)}
}

func (c *Client) read(ctx context.Context, key, query string) (Value, error) {
	resp, b, err := c.call(ctx, c.reads, http.MethodGet, objectPath(key)+query, nil, nil)
	if err != nil {
		return Value{}, &UnavailableError{Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		v, err := parseETag(resp.Header.Get("ETag"))
		return Value{Data: b, Version: v}, err
	case http.StatusNotModified:
		return Value{}, &UnchangedError{}
	case http.StatusNotFound:
		return Value{}, &NotFoundError{Key: key}
	}
	return Value{}, &UnavailableError{Err: statusError(resp)}
}

// errLongAnswer tells that an answer has more than maxAnswer bytes.
var errLongAnswer = errors.New("the answer is too long")

// limitError tells that the call was not made, for want of this process's share.
type limitError struct {
	err error
}

// Error says so, with the cause.
func (e *limitError) Error() string {
	return "share of the platform's rate used up: " + e.err.Error()
}

func (c *Client) call(ctx context.Context, l *rate.Limiter, method, path string, h http.Header, body []byte) (*http.Response, []byte, error) {
	if err := l.Wait(ctx); err != nil {
		return nil, nil, &limitError{err: err}
	}
	base := c.cfg.URLs[c.next.Load()%uint64(len(c.cfg.URLs))]
	r, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &limitError{err: err}
	}
	for k, v := range h {
		r.Header[k] = v
	}
	resp, err := c.cfg.HTTP.Do(r)
	if err != nil {
		c.next.Add(1)
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = errLongAnswer
	}
	return resp, b, err
}

func (c *Client) watchQuery(name string, version int64) string {
	return fmt.Sprintf("?%s=%d&wait=%d", name, version, int(c.cfg.Wait/time.Second))
}

func objectPath(key string) string {
	return "/v1/objects/" + url.PathEscape(key)
}

func etag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}

func parseETag(s string) (int64, error) {
	v, err := strconv.ParseInt(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, &UnavailableError{Taken: true, Err: fmt.Errorf("bad ETag %q", s)}
	}
	return v, nil
}

func statusError(resp *http.Response) error {
	return fmt.Errorf("status %s", resp.Status)
}
