package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/standalone/agent"
	"github.com/silverdeck/silverdeck/standalone/fleet"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

// Spreading between entries.
const (
	// exchangeEvery is how often an entry exchanges news with one other.
	exchangeEvery = 400 * time.Millisecond
	// urgentFanout is how many others hear of a new configuration at once.
	urgentFanout = 3
	// exchangeLimit bounds one exchange.
	exchangeLimit = 2 * time.Second
)

// spreader brings entries to the same newest configuration, list of VMs and
// endpoint records, by exchanges between random pairs. Equal hashes end an
// exchange after one small message.
//
// Spec step: config.pml, "spread".
type spreader struct {
	self   string
	pool   *peerconn.Pool
	holder *snapshot.Holder
	list   *atomic.Pointer[objectstore.VMList]
	take   func(*objectstore.VMList)
	took   func(revision int64)
	table  *fleet.Table
	peers  func() []string
	random func() float64
	log    *log.Logger
	wake   chan struct{}

	// floor is the highest revision that anybody was heard to have.
	floor   atomic.Int64
	heardAt atomic.Int64

	mu      sync.Mutex
	encoded []byte
	encRev  int64
}

// run exchanges until ctx ends.
func (s *spreader) run(ctx context.Context) {
	t := time.NewTicker(exchangeEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		fanout := 1
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wake:
			fanout = urgentFanout
		}
		for range fanout {
			s.exchangeRandom(ctx)
		}
	}
}

// urgent makes run tell others at once.
func (s *spreader) urgent() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// silentFor returns for how long no other entry was heard.
func (s *spreader) silentFor() time.Duration {
	return time.Since(time.Unix(0, s.heardAt.Load()))
}

// seen notes a revision that somebody has.
func (s *spreader) seen(revision int64) {
	for {
		old := s.floor.Load()
		if revision <= old || s.floor.CompareAndSwap(old, revision) {
			return
		}
	}
}

// behind returns whether somebody has a newer configuration than this entry.
// Such an entry gives no directives.
func (s *spreader) behind() bool {
	return s.holder.Current().Revision < s.floor.Load()
}

func (s *spreader) exchangeRandom(ctx context.Context) {
	peers := s.peers()
	if len(peers) == 0 {
		return
	}
	addr := peers[min(int(s.random()*float64(len(peers))), len(peers)-1)]
	if err := s.exchange(ctx, addr); err != nil {
		s.log.Debug("exchange failed", "entry", addr, "err", err)
	}
}

// exchange brings this entry and the one at addr to the same state.
func (s *spreader) exchange(ctx context.Context, addr string) error {
	reply, err := s.call(ctx, addr, peer.ExchangeRequest{TableHash: s.table.Hash()})
	if err != nil {
		return err
	}
	second := peer.ExchangeRequest{}
	push := false
	if reply.Revision < s.holder.Current().Revision {
		second.Snapshot = s.encodedSnapshot()
		push = true
	}
	if l := s.list.Load(); reply.ListVersion < l.Version {
		second.List = l
		push = true
	}
	if reply.WantKeys {
		second.Keys = s.table.Keys()
		push = true
	}
	if !push {
		return nil
	}
	if reply, err = s.call(ctx, addr, second); err != nil || len(reply.WantRecords) == 0 {
		return err
	}
	_, err = s.call(ctx, addr, peer.ExchangeRequest{Records: s.records(reply.WantRecords)})
	return err
}

// call sends q and takes in the reply.
func (s *spreader) call(ctx context.Context, addr string, q peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	q.From = s.self
	q.Revision = s.holder.Current().Revision
	q.ListVersion = s.list.Load().Version
	reply := &peer.ExchangeReply{}
	if err := s.pool.Call(ctx, addr, agent.EntryService+".Exchange", q, reply); err != nil {
		return nil, err
	}
	s.heardAt.Store(time.Now().UnixNano())
	s.absorb(reply.Revision, reply.Snapshot, reply.List, reply.Records)
	return reply, nil
}

// absorb takes in what another entry sent.
func (s *spreader) absorb(revision int64, data []byte, l *objectstore.VMList, records []peer.EndpointRecord) {
	s.seen(revision)
	if len(data) > 0 {
		if n, err := snapshot.Decode(data); err != nil {
			s.log.Warn("bad snapshot from another entry", "err", err)
		} else if s.holder.Advance(n) {
			s.took(n.Revision)
		}
	}
	if l != nil {
		s.take(l)
	}
	for _, r := range records {
		s.table.Merge(r)
	}
}

// answer is the other half of exchange.
func (s *spreader) answer(q peer.ExchangeRequest, reply *peer.ExchangeReply) {
	s.heardAt.Store(time.Now().UnixNano())
	s.absorb(q.Revision, q.Snapshot, q.List, q.Records)
	current := s.holder.Current()
	reply.Revision = current.Revision
	if q.Revision < current.Revision {
		reply.Snapshot = s.encodedSnapshot()
	}
	l := s.list.Load()
	reply.ListVersion = l.Version
	if q.ListVersion < l.Version {
		reply.List = l
	}
	switch {
	case q.Keys != nil:
		s.compare(q.Keys, s.table.Keys(), reply)
	case q.Records == nil && q.TableHash != s.table.Hash():
		reply.WantKeys = true
	}
}

// compare finds the records that one side has newer than the other.
func (s *spreader) compare(theirs, ours map[string]peer.RecordKey, reply *peer.ExchangeReply) {
	var give []string
	for vm, k := range ours {
		t, known := theirs[vm]
		if !known || fleet.Newer(k, t) {
			give = append(give, vm)
		}
	}
	for vm, t := range theirs {
		k, known := ours[vm]
		if !known || fleet.Newer(t, k) {
			reply.WantRecords = append(reply.WantRecords, vm)
		}
	}
	reply.Records = s.records(give)
}

func (s *spreader) records(names []string) []peer.EndpointRecord {
	out := make([]peer.EndpointRecord, 0, len(names))
	for _, vm := range names {
		if e, ok := s.table.Get(vm); ok {
			out = append(out, e.EndpointRecord)
		}
	}
	return out
}

// encodedSnapshot returns the current snapshot as it travels.
func (s *spreader) encodedSnapshot() []byte {
	current := s.holder.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encRev != current.Revision {
		b, err := snapshot.Encode(current)
		if err != nil {
			return nil
		}
		s.encoded, s.encRev = b, current.Revision
	}
	return s.encoded
}
