package inventory

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/versions"
)

// MethodNamings is the method of Service that tells when versions were named.
const MethodNamings = Service + ".Namings"

// NamingsQuery asks when versions of a model were named; empty asks for all models.
type NamingsQuery struct {
	Model string
}

// NamingAge tells how long ago a version of a model was named.
type NamingAge struct {
	Model   string
	Version int64
	Age     time.Duration
}

// NamingsReply lists the namings of which the gateway knows when they were.
type NamingsReply struct {
	Namings []NamingAge
}

// Namings tells when versions were named, by their ages: clocks differ between VMs.
func (s *Server) Namings(q NamingsQuery, reply *NamingsReply) error {
	for _, n := range s.named() {
		if q.Model == "" || q.Model == n.Model {
			reply.Namings = append(reply.Namings, NamingAge{Model: n.Model, Version: n.Version, Age: time.Since(n.At)})
		}
	}
	return nil
}

// AskNamings asks the gateway at addr when versions were named. Times count from when the
// question was sent: they may be early by the way there and back, and are never late.
// A limit that counts from them is kept however slow the link is.
func AskNamings(ctx context.Context, pool *peerconn.Pool, addr string) ([]versions.Naming, error) {
	asked := time.Now()
	var reply NamingsReply
	if err := pool.Call(ctx, addr, MethodNamings, NamingsQuery{}, &reply); err != nil {
		return nil, err
	}
	out := make([]versions.Naming, 0, len(reply.Namings))
	for _, n := range reply.Namings {
		out = append(out, versions.Naming{Model: n.Model, Version: n.Version, At: asked.Add(-n.Age)})
	}
	return out, nil
}
