package inventory

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/versions"
)

// MethodNamings is the net/rpc name of Server.Namings.
const MethodNamings = Service + ".Namings"

// NamingsQuery requests the namings of a model.
type NamingsQuery struct {
	// Model selects the model. If it is empty, all models are selected.
	Model string
}

// NamingAge reports how long ago a version of a model was named.
type NamingAge struct {
	Model   string
	Version int64
	Age     time.Duration
}

// NamingsReply lists the namings whose time is known to the gateway.
type NamingsReply struct {
	Namings []NamingAge
}

// Namings reports when versions were named. It reports ages rather than times because the clocks of
// VMs differ.
func (s *Server) Namings(q NamingsQuery, reply *NamingsReply) error {
	for _, n := range s.listNamings() {
		if q.Model == "" || q.Model == n.Model {
			reply.Namings = append(reply.Namings, NamingAge{Model: n.Model, Version: n.Version, Age: time.Since(n.At)})
		}
	}
	return nil
}

// FetchNamings requests from the gateway at addr when versions were named. Times are computed from
// when the request was sent, so they may be too early by the round-trip time but are never too
// late: a limit that counts from them is kept however slow the link is.
func FetchNamings(ctx context.Context, pool *peerconn.Pool, addr string) ([]versions.Naming, error) {
	sentAt := time.Now()
	var reply NamingsReply
	if err := pool.Call(ctx, addr, MethodNamings, NamingsQuery{}, &reply); err != nil {
		return nil, err
	}
	out := make([]versions.Naming, 0, len(reply.Namings))
	for _, n := range reply.Namings {
		out = append(out, versions.Naming{Model: n.Model, Version: n.Version, At: sentAt.Add(-n.Age)})
	}
	return out, nil
}
