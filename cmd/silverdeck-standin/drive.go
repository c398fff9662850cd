package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/standin"
)

type driveCmd struct {
	Entry         string        `arg:"--entry,required" help:"one entry's address for callers"`
	Operator      string        `arg:"--operator,required" help:"URL of an entry's operators' port"`
	Origin        string        `arg:"--origin,required" help:"URL of the origin"`
	Engines       []string      `arg:"--engines" help:"URLs of engines, to look for second runs"`
	Keys          []string      `arg:"--keys" help:"API keys of client accounts"`
	Requests      int           `arg:"--requests" default:"120"`
	Parallel      int           `arg:"--parallel" default:"8"`
	Service       string        `arg:"--service" default:"claims"`
	Plain         string        `arg:"--plain" default:"quotes"`
	Size          int64         `arg:"--size,required" help:"bytes of the weights, to count copies"`
	SecondsToLive float64       `arg:"--seconds-to-live" help:"as measured before"`
	For           time.Duration `arg:"--for" default:"3s" help:"how long to spread the requests over"`
}

// report is the last line of a demo.
type report struct {
	Replicas       int      `json:"replicas"`
	ReplicasLive   int      `json:"replicas_live"`
	SecondsToLive  float64  `json:"seconds_to_live"`
	OriginBytes    int64    `json:"origin_bytes"`
	OriginCopies   float64  `json:"origin_copies"`
	RequestsSent   int      `json:"requests_sent"`
	RequestsOK     int      `json:"requests_ok"`
	RequestsWrong  int      `json:"requests_wrong"`
	RunsDuplicated int      `json:"runs_duplicated"`
	Failures       []string `json:"failures,omitempty"`
}

var errDemo = errors.New("a replica is not live, an answer is wrong or a request ran twice")

// driver sends requests and checks the answers.
type driver struct {
	cfg       *driveCmd
	addresses []string

	mu     sync.Mutex
	report report
}

func drive(cfg *driveCmd) error {
	d := &driver{cfg: cfg}
	if err := d.askAddresses(); err != nil {
		return err
	}
	d.sendAll()
	d.countRuns()
	if err := d.readStatus(); err != nil {
		return err
	}
	b, err := json.Marshal(d.report)
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	r := d.report
	if r.ReplicasLive < r.Replicas || r.RequestsWrong > 0 || r.RequestsOK < r.RequestsSent || r.RunsDuplicated > 0 {
		return errDemo
	}
	return nil
}

// askAddresses asks the system which of its addresses to use.
func (d *driver) askAddresses() error {
	resp, err := http.Get("http://" + d.cfg.Entry + "/v1/addresses")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct{ Addresses []string }
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err
	}
	d.addresses = list.Addresses
	return nil
}

func (d *driver) sendAll() {
	gap := d.cfg.For / time.Duration(max(d.cfg.Requests, 1))
	slots := make(chan struct{}, d.cfg.Parallel)
	var wg sync.WaitGroup
	for i := range d.cfg.Requests {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			d.send(i)
		})
		time.Sleep(gap)
	}
	wg.Wait()
}

// send sends request i: a plain one, a streamed one, one that must not be
// repeated, or a usual one.
func (d *driver) send(i int) {
	addr := d.addresses[i%len(d.addresses)]
	key := d.cfg.Keys[i%len(d.cfg.Keys)]
	var err error
	if i%4 == 3 {
		err = d.sendPlain(addr, key, i)
	} else {
		err = d.sendModel(addr, key, i)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.RequestsSent++
	if err == nil {
		d.report.RequestsOK++
		return
	}
	d.report.Failures = append(d.report.Failures, err.Error())
	var wrong *wrongError
	if errors.As(err, &wrong) {
		d.report.RequestsWrong++
	}
}

// wrongError tells that an answer is not the answer to its request.
type wrongError struct {
	got, want string
}

// Error names both.
func (e *wrongError) Error() string {
	return fmt.Sprintf("wrong answer %.60q, want %.60q", e.got, e.want)
}

func (d *driver) sendPlain(addr, key string, i int) error {
	path := fmt.Sprintf("/alert/%d", i)
	body := fmt.Sprintf(`{"alert":%d}`, i)
	b, err := post(addr, key, "/services/"+d.cfg.Plain+path, body, "never")
	if err != nil {
		return err
	}
	if want := standin.PlainAnswer(path, []byte(body)); string(b) != want {
		return &wrongError{got: string(b), want: want}
	}
	return nil
}

func (d *driver) sendModel(addr, key string, i int) error {
	prompt := fmt.Sprintf("claim %d: two nights in Mandeville", i)
	stream := i%4 == 1
	repeat := ""
	if i%4 == 2 {
		repeat = "never"
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":24,"messages":[{"role":"user","content":%q}]}`, d.cfg.Service, stream, prompt)
	b, err := post(addr, key, "/v1/chat/completions", body, repeat)
	if err != nil {
		return err
	}
	text, digest, err := readAnswer(b, stream)
	if err != nil {
		return err
	}
	want := strings.Join(standin.Words(digest, fmt.Sprintf(`[{"role":"user","content":%q}]`, prompt), 24), " ")
	if text != want {
		return &wrongError{got: text, want: want}
	}
	return nil
}

func post(addr, key, path, body, repeat string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	if repeat != "" {
		r.Header.Set("Silverdeck-Repeat", repeat)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d: %s", path, resp.StatusCode, b)
	}
	return b, err
}

// readAnswer returns the text and the digest of the weights of an answer.
func readAnswer(b []byte, stream bool) (text, digest string, err error) {
	if !stream {
		var c standin.Completion
		if err := json.Unmarshal(b, &c); err != nil || len(c.Choices) != 1 {
			return "", "", &wrongError{got: string(b), want: "a completion"}
		}
		return c.Choices[0].Message.Content, c.SystemFingerprint, nil
	}
	done := false
	lines := bufio.NewScanner(bytes.NewReader(b))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c standin.Completion
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
			return "", "", &wrongError{got: data, want: "an event"}
		}
		text += c.Choices[0].Delta.Content
		digest = c.SystemFingerprint
	}
	if !done {
		return "", "", &wrongError{got: string(b), want: "a whole stream"}
	}
	return text, digest, nil
}

// countRuns looks in the engines' logs for requests that ran more than once.
func (d *driver) countRuns() {
	seen := map[string]int{}
	for _, url := range d.cfg.Engines {
		resp, err := http.Get(url + "/v1/runs")
		if err != nil {
			continue
		}
		var runs []standin.Run
		_ = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		for _, r := range runs {
			seen[r.Key]++
		}
	}
	for _, n := range seen {
		if n > 1 {
			d.report.RunsDuplicated++
		}
	}
}

func (d *driver) readStatus() error {
	c := &operator.Client{Base: d.cfg.Operator, Operator: "demo", HTTP: http.DefaultClient}
	s, err := c.Status(context.Background())
	if err != nil {
		return err
	}
	for _, r := range s.Rollouts {
		d.report.Replicas += r.Replicas
		d.report.ReplicasLive += r.Live
	}
	resp, err := http.Get(d.cfg.Origin + "/admin/counters")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var n struct{ Bytes int64 }
	if err := json.NewDecoder(resp.Body).Decode(&n); err != nil {
		return err
	}
	d.report.OriginBytes = n.Bytes
	d.report.OriginCopies = float64(n.Bytes) / float64(d.cfg.Size)
	d.report.SecondsToLive = d.cfg.SecondsToLive
	return nil
}
