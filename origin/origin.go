// Package origin reads weights from the origin or the weight store.
//
// Published protocol: HTTP GET with Range, ETag and If-Match.
package origin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/silverdeck/silverdeck/limitread"
	"github.com/silverdeck/silverdeck/weights"
)

// Source reads manifests and weights by path.
type Source interface {
	// Manifest returns the encoded manifest of the weights at path.
	Manifest(ctx context.Context, path string) ([]byte, error)
	// ReadRange returns n bytes at offset off of the weights at path and the ETag of the
	// response. If etag is not empty and no longer matches, it returns a *ChangedError. If
	// reading the body fails, it returns the bytes received so far along with the error.
	ReadRange(ctx context.Context, path, etag string, off, n int64) ([]byte, string, error)
}

// ChangedError reports that the weights at the origin are no longer the ones that the reader
// started with.
type ChangedError struct {
	Path string
}

// Error implements error.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("origin: %s changed while being read", e.Path)
}

// StatusError reports an unexpected HTTP status from the origin.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("origin: %s: unexpected status %d", e.Path, e.Status)
}

type client struct {
	base string
	http *http.Client
}

// NewClient returns a Source that reads from the origin at the URL base.
func NewClient(base string, c *http.Client) Source {
	return &client{base: strings.TrimSuffix(base, "/"), http: c}
}

// Manifest implements Source.
func (c *client) Manifest(ctx context.Context, path string) ([]byte, error) {
	r, err := c.request(ctx, path+weights.ManifestSuffix)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Path: path + weights.ManifestSuffix, Status: resp.StatusCode}
	}
	return limitread.ReadAll(resp.Body, weights.MaxManifestBytes)
}

// ReadRange implements Source.
func (c *client) ReadRange(ctx context.Context, path, etag string, off, n int64) ([]byte, string, error) {
	r, err := c.request(ctx, path)
	if err != nil {
		return nil, "", err
	}
	r.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", off, off+n-1))
	if etag != "" {
		r.Header.Set("If-Match", etag)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusPartialContent:
	case http.StatusPreconditionFailed, http.StatusRequestedRangeNotSatisfiable:
		return nil, "", &ChangedError{Path: path}
	default:
		return nil, "", &StatusError{Path: path, Status: resp.StatusCode}
	}
	b := make([]byte, n)
	if got, err := io.ReadFull(resp.Body, b); err != nil {
		return b[:got], "", errors.Join(fmt.Errorf("origin: %s: response body truncated", path), err)
	}
	return b, resp.Header.Get("ETag"), nil
}

func (c *client) request(ctx context.Context, path string) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/"+path, nil)
}
