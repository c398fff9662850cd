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

	"github.com/silverdeck/silverdeck/weights"
)

// Source is where weights come from in the first place.
type Source interface {
	// Manifest returns the bytes of the manifest of the weights at path.
	Manifest(ctx context.Context, path string) ([]byte, error)
	// ReadRange returns n bytes at off of the weights at path. An etag that is
	// not empty must still hold; otherwise the result is *ChangedError. The
	// second result is the ETag of what was read. With an error the bytes that
	// had come are returned.
	ReadRange(ctx context.Context, path, etag string, off, n int64) ([]byte, string, error)
}

// ChangedError tells that the weights at the origin are no longer those that
// the reader began with.
type ChangedError struct {
	Path string
}

// Error names the path.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("origin: %s changed while it was read", e.Path)
}

// StatusError tells that the origin answered with an unexpected status.
type StatusError struct {
	Path   string
	Status int
}

// Error names the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("origin: %s: status %d", e.Path, e.Status)
}

type client struct {
	base string
	http *http.Client
}

// NewClient returns a Source that reads from the origin at base.
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
	return io.ReadAll(io.LimitReader(resp.Body, weights.MaxManifestBytes))
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
		return b[:got], "", errors.Join(fmt.Errorf("origin: %s: short range", path), err)
	}
	return b, resp.Header.Get("ETag"), nil
}

func (c *client) request(ctx context.Context, path string) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/"+path, nil)
}
