package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Limits and timing of DENIED.
const (
	// lowHeaderLimit and highHeaderLimit are max_header_bytes before and after the change.
	lowHeaderLimit  = 16384
	highHeaderLimit = 32768
	// largeHeader is the size of a prompt's list of parts, with which a header has some 28 KB.
	largeHeader = 28000
	// keptConnections is the number of connections that are kept, each by one client.
	keptConnections = 12
	// applyTime is config_apply_ms.
	applyTime = 2 * time.Second
	// rounds is how often each client asks after the change, requestPause the time between two requests.
	rounds       = 20
	requestPause = 250 * time.Millisecond
)

// kept is a connection that a client keeps for many requests.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
	addr   string
}

func openKept(addr string) (*kept, error) {
	conn, err := net.DialTimeout("tcp4", addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &kept{conn: conn, reader: bufio.NewReader(conn), addr: addr}, nil
}

// ask sends a request with a list of prompt parts of the given size, and returns the status of the
// answer, or 0 if there is none. A connection that ended is opened again for the next request.
func (k *kept) ask(rec *record, id string, partBytes int) int {
	parts := strings.Repeat("5c1e07a2:40,", partBytes/len("5c1e07a2:40,")) + "91bd3f06:40"
	head := fmt.Sprintf("POST /go/%s HTTP/1.1\r\nHost: %s\r\nX-Silverdeck-Attempt-Id: %s\r\nX-Silverdeck-Credential: %s\r\n"+
		"X-Silverdeck-Deadline-Ms: 1500\r\nX-Silverdeck-Prompt-Prefix: %s\r\nContent-Length: 2\r\n\r\n{}", id, plainHost, id, apiKey, parts)
	rec.add("send %s to %s, %d bytes, from %s", id, k.addr, len(head), k.conn.LocalAddr())
	_ = k.conn.SetDeadline(time.Now().Add(3 * time.Second))
	status := 0
	if _, err := k.conn.Write([]byte(head)); err == nil {
		if resp, err := http.ReadResponse(k.reader, nil); err == nil {
			status = resp.StatusCode
			_, err = bufio.NewReader(resp.Body).WriteTo(&strings.Builder{})
			if err == nil && !resp.Close {
				rec.add("answer to %s: %d", id, status)
				return status
			}
		}
	}
	rec.add("answer to %s: %d, and the connection ends", id, status)
	return status
}

// reopen replaces a connection that ended.
func (k *kept) reopen() error {
	_ = k.conn.Close()
	fresh, err := openKept(k.addr)
	if err == nil {
		*k = *fresh
	}
	return err
}

// playDenied raises max_header_bytes while clients keep their connections. Requests that are sent on these
// later than config_apply_ms after the acknowledgement, with a header that the new configuration allows,
// count if they get a 4xx. Each client that is denied opens another connection.
func playDenied(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	limit := lowHeaderLimit
	if !trouble {
		limit = highHeaderLimit
	}
	config := d.config()
	setLimit(config, 8, limit)
	d.store.Put("config", "main", config)
	sleep(ctx, 2*applyTime)
	var list []*kept
	for i := range keptConnections {
		k, err := openKept(d.fronts[i%len(d.fronts)])
		if err != nil {
			return false, err
		}
		list = append(list, k)
	}
	n := 0
	each := func(bytes int) (statuses map[int]int) {
		statuses = map[int]int{}
		for _, k := range list {
			n++
			statuses[k.ask(d.rec, fmt.Sprintf("%016x", n), bytes)]++
		}
		return statuses
	}
	d.rec.say("small headers on kept connections, max_header_bytes %d: answers by status %v", limit, each(100))
	if trouble {
		next := d.config()
		setLimit(next, 12, highHeaderLimit)
		d.store.Put("config", "main", next)
		d.rec.say("max_header_bytes is %d now, acknowledged", highHeaderLimit)
	}
	for began := time.Now(); time.Since(began) < applyTime+contactTime; {
		each(100) // the connections stay in use
		sleep(ctx, requestPause)
	}
	denied, sent := 0, 0
	for range rounds {
		for _, k := range list {
			n++
			sent++
			status := k.ask(d.rec, fmt.Sprintf("%016x", n), largeHeader)
			if status >= 400 && status < 500 {
				denied++
			}
			if status != http.StatusOK {
				if err := k.reopen(); err != nil {
					return false, err
				}
			}
		}
		sleep(ctx, requestPause)
	}
	allowed := 5 + sent/500
	d.rec.say("%d of %d proper requests were ended with a 4xx; %d are allowed", denied, sent, allowed)
	d.rec.say("DENIED broken: %t", denied > allowed)
	return denied > allowed, nil
}

// setLimit sets the version and max_header_bytes of a configuration.
func setLimit(config object, version, headerBytes int) {
	config["version"] = version
	limits, _ := config["limits"].(object)
	limits["max_header_bytes"] = headerBytes
}
