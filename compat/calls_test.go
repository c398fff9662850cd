package compat_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
)

// recorder notes each call that a server gets, and answers with the next answer.
type recorder struct {
	calls   strings.Builder
	answers []answer
}

type answer struct {
	status int
	body   string
}

// ServeHTTP implements http.Handler.
func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	fmt.Fprintf(&r.calls, "%s %s", q.Method, q.RequestURI)
	for _, name := range []string{"Content-Type", "If-Match", "If-None-Match"} {
		if v := q.Header.Get(name); v != "" {
			fmt.Fprintf(&r.calls, " %s=%s", name, v)
		}
	}
	fmt.Fprintf(&r.calls, " %s\n", body)
	next := r.answers[0]
	r.answers = r.answers[1:]
	w.WriteHeader(next.status)
	_, _ = io.WriteString(w, next.body)
}

// note adds what a call returned.
func (r *recorder) note(values ...any) {
	fmt.Fprintf(&r.calls, "  = %s\n", strings.TrimSpace(fmt.Sprintln(values...)))
}

func record(t *testing.T, answers ...answer) (*recorder, string) {
	r := &recorder{answers: answers}
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return r, strings.TrimPrefix(s.URL, "http://")
}

func TestCallsToTheStoreKeepTheirForm(t *testing.T) {
	const object = `{"metadata":{"name":"gw-1","revision":5},"spec":{"a":1}}`
	r, addr := record(t,
		answer{http.StatusOK, "{}"}, answer{http.StatusConflict, ""}, answer{http.StatusOK, "{}"}, answer{http.StatusOK, "{}"},
		answer{http.StatusOK, `{"items":[` + object + `],"more":true,"at":9}`}, answer{http.StatusOK, `{"items":[],"at":9}`},
		answer{http.StatusOK, `{"items":[` + object + `],"at":9}`},
		answer{http.StatusOK, `{"events":[{"object":` + object + `,"gone":true}],"at":11}`}, answer{http.StatusGone, ""},
		answer{http.StatusOK, `{"items":[],"at":9}`}, answer{http.StatusOK, "{}"},
		answer{http.StatusOK, `{"items":[{"metadata":{"name":"main","revision":5},"spec":{"size":40,"gateways":[{"name":"g","peer":"10.0.0.1:7"}]}}],"at":9}`})
	store, ctx := platform.NewStore(addr, metrics.NewRegistry()), t.Context()
	entry := filled[member.Entry]()
	r.note(store.Put(ctx, platform.KindMembers, "gw 1", entry))
	r.note(store.Put(ctx, platform.KindMembers, "gw 1", entry))
	r.note(store.Delete(ctx, platform.KindMembers, "gw 1"))
	source := store.Source(platform.KindEndpoints)
	objects, at, err := source.List(ctx)
	r.note(show(objects), at.Revision, err)
	objects, err = store.ListStale(ctx, platform.KindConfig)
	r.note(show(objects), err)
	events, at, err := source.Watch(ctx, mirror.Position{Era: 1, Revision: 9}, 2500*time.Millisecond)
	r.note(fmt.Sprintf("%s %v", events[0].Object.Data, events[0].Gone), at.Revision, err)
	_, _, err = source.Watch(ctx, mirror.Position{Era: 1, Revision: 9}, time.Second)
	var gone *mirror.HistoryGoneError
	r.note("history gone", errors.As(err, &gone))
	contacts, err := store.Contacts(ctx)
	r.note("no contacts", contacts == nil, err)
	r.note(store.PutContacts(ctx, filled[member.Contacts]()))
	contacts, err = store.Contacts(ctx)
	r.note(contacts.Size, contacts.Gateways[0].Peer, err)
	golden(t, "store.golden", r.calls.String())
}

func show(objects []mirror.Object) string {
	var out []string
	for _, o := range objects {
		out = append(out, fmt.Sprintf("%s@%d %s", o.Name, o.Revision, o.Data))
	}
	return strings.Join(out, ", ")
}

func TestCallsToEndpointsKeepTheirForm(t *testing.T) {
	r, addr := record(t,
		answer{http.StatusOK, `{"models":[{"name":"m","version":3}],"busy":true,"sequence":4,"queued":1,"running":2}`},
		answer{http.StatusOK, ""}, answer{http.StatusOK, "chunk"}, answer{http.StatusNotFound, ""},
		answer{http.StatusOK, ""}, answer{http.StatusConflict, ""}, answer{http.StatusAccepted, ""})
	e, ctx := platform.NewEndpoint(addr), t.Context()
	report, err := e.Report(ctx)
	r.note(report.Version("m"), report.Busy, report.Sequence, report.Running, report.Queued, err)
	r.note(e.Place(ctx, "m/1", 2, []byte("chunk")))
	data, err := e.Placed(ctx, "m/1", 2)
	r.note(string(data), err)
	data, err = e.Placed(ctx, "m/1", 3)
	r.note(data == nil, err)
	order := stage.Order{Model: "m", Version: 3, Sequence: 4}
	r.note(e.Load(ctx, order))
	r.note(e.Load(ctx, order))
	r.note(e.Unload(ctx, order))
	golden(t, "endpoint.golden", r.calls.String())
}

func TestCallsToTheOriginKeepTheirForm(t *testing.T) {
	digest := strings.Repeat("ab", 32)
	r, addr := record(t, answer{http.StatusOK, `{"chunk_bytes":4096,"digests":["` + digest + `"]}`}, answer{http.StatusOK, "chunk"})
	origin := platform.NewOrigin(func(context.Context) (platform.OriginLocation, error) {
		return platform.OriginLocation{Address: addr, LinkMbps: 8}, nil
	})
	m, err := origin.Manifest(t.Context(), "m/1", 3)
	r.note(m.Size, m.Root(), err)
	data, err := origin.Chunk(t.Context(), "m/1", 3, 2)
	r.note(string(data), err, origin.Rate(context.Background()))
	golden(t, "origin.golden", r.calls.String())
}

func TestCallsToTheObjectStoreKeepTheirForm(t *testing.T) {
	r, addr := record(t, answer{http.StatusNotFound, ""}, answer{http.StatusOK, ""}, answer{http.StatusPreconditionFailed, ""},
		answer{http.StatusNotModified, ""}, answer{http.StatusNotModified, ""})
	c, ctx := objectstore.NewClient([]string{"http://" + addr}), t.Context()
	_, err := c.Get(ctx, "silverdeck/head")
	r.note(err)
	_, err = c.Put(ctx, "silverdeck/head", []byte("data"), 0)
	r.note(err != nil)
	_, err = c.Put(ctx, "silverdeck/head", []byte("data"), 3)
	r.note(err)
	_, err = c.Watch(ctx, "silverdeck/head", 3)
	r.note(err)
	_, err = c.WatchVMs(ctx, 3)
	r.note(err)
	golden(t, "objectstore.golden", r.calls.String())
}

func TestConfigurationIsTranslatedAsBefore(t *testing.T) {
	config, err := platform.DecodeConfig([]byte(platformConfig))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, path := range []string{"/chat/x", "/", "/plain"} {
		r := config.Match("Portal.example:80", path)
		fmt.Fprintln(&out, path, r.Name, r.Host, r.Prefix, int(r.Kind), r.Timeout, r.LatencyTarget, r.GapTarget, r.Attempts, r.Priority,
			r.Public, r.Resume, r.Repeatable(), r.Target(0), r.Target(0.95))
	}
	a := config.Account("k1")
	fmt.Fprintln(&out, "account", a.Name, a.Priority, a.Ranked)
	fmt.Fprintln(&out, "keys", config.NeedsKeys(), "aim", config.LongestTarget("llm"), "body", config.Limits.BodyBytes)
	s := config.Services["llm"]
	fmt.Fprintf(&out, "origin %s %v\nslots %d queue %.4f\n", s.Origin, s.LinkMbps, s.Engine.Slots, s.Engine.MaxQueue(240*time.Millisecond, 500))
	endpoint, err := platform.DecodeEndpoint([]byte(platformEndpoint))
	fmt.Fprintln(&out, "endpoint", endpoint.ID, endpoint.Service, endpoint.Addr, endpoint.Zone, endpoint.Slots, endpoint.Leaving,
		endpoint.Holds("m"), endpoint.Holds("l"), err)
	golden(t, "platform.golden", out.String())
}

const platformConfig = `{"metadata":{"name":"main","revision":12},"spec":{"version":3,
"limits":{"max_header_bytes":4096,"max_body_bytes":1000,"header_timeout_ms":2000,"idle_timeout_ms":30000},
"tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":2}],
"routes":[{"name":"chat","hostname":"portal.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,
"gap_target_ms":300,"priority":1,"service":"llm","max_attempts":3,"stream_resume":true},
{"name":"plain","hostname":"portal.example","path_prefix":"/","kind":"unsafe","timeout_ms":1500.5,"target_latency_ms":100,"public":true,
"traffic_split":[{"service":"a","weight":9},{"service":"b","weight":1}]}],
"services":[{"name":"llm","max_connections":40,"origin":"10.0.0.9:80","zone":"a","link_mbps":15,"engine":{"slots":12,"kv_capacity_tokens":685000,
"stride":4,"step_ms":7.4,"per_seq_ms":0.2,"read_per_s":31900,"report_lag_ms":200,"chunks":48,"chunk_bytes":49152,
"usual":{"prompt":900,"answer":120},"models":[{"name":"m","warm_s":2}]}}]}}`

const platformEndpoint = `{"metadata":{"name":"r-1","revision":5},"spec":{"service":"llm","address":"10.0.0.5:80","zone":"a","slots":12,
"state":"draining","models":[{"name":"m","version":2},{"name":"l","version":1,"layers":{"from":0,"target_version":0,"version":4}}]}}`
