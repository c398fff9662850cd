package swarm_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

const (
	chunkSize = 4096
	chunks    = 64
	// chunkTime is the transfer time of a chunk on a VM's link. The origin's link takes half
	// of it.
	chunkTime = 20 * time.Millisecond
	// originRate is the origin's link rate, at which a chunk takes half of chunkTime.
	originRate = float64(chunkSize) / (float64(chunkTime/2) / float64(time.Second))
)

// version returns weights that depend on seed, and their manifest.
func version(seed byte) ([]byte, *weights.Manifest) {
	data := make([]byte, chunks*chunkSize)
	for i := range data {
		data[i] = byte(i/chunkSize) ^ byte(i) ^ seed
	}
	m, err := weights.NewManifest(bytes.NewReader(data), chunkSize)
	if err != nil {
		panic(err)
	}
	return data, m
}

// fakeOrigin serves one version over a link that transfers one chunk at a time.
type fakeOrigin struct {
	link chan struct{}

	mu      sync.Mutex
	data    []byte
	reads   map[int]int
	total   int
	changed bool
	down    bool
	corrupt int
}

func (o *fakeOrigin) ReadChunk(ctx context.Context, off, n int64) ([]byte, error) {
	o.link <- struct{}{}
	time.Sleep(chunkTime / 2)
	<-o.link
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total++
	if o.down {
		return nil, errors.New("origin down")
	}
	if o.changed {
		return nil, &origin.ChangedError{Path: "models/x"}
	}
	o.reads[int(off/chunkSize)]++
	b := bytes.Clone(o.data[off : off+n])
	if o.corrupt > 0 {
		o.corrupt--
		b[0] ^= 0xff
	}
	return b, ctx.Err()
}

func (o *fakeOrigin) set(f func(o *fakeOrigin)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

func (o *fakeOrigin) readCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

// vm is a member of a fake network.
type vm struct {
	member   swarm.Member
	set      *weights.Set
	download *swarm.Download
	cancel   context.CancelFunc
	done     chan error
	up       chan struct{}
	down     chan struct{}

	mu      sync.Mutex
	dead    bool
	stalled bool
	corrupt bool
	// narrow, if set, is the transfer time of a chunk on this VM's link, in each direction,
	// instead of chunkTime.
	narrow time.Duration
}

func (v *vm) update(f func(v *vm)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v)
}

func (v *vm) state() (dead, stalled, corrupt bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead, v.stalled, v.corrupt
}

// narrowed returns the transfer time of a chunk on v's link if that is narrow, or else 0.
func (v *vm) narrowed() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.narrow
}

// send transfers a chunk from v over its uplink. Only a narrow link is released as soon as ctx is
// done.
func (v *vm) send(ctx context.Context) error {
	if narrow := v.narrowed(); narrow > 0 {
		return occupy(ctx, v.up, narrow)
	}
	v.up <- struct{}{}
	time.Sleep(chunkTime)
	<-v.up
	return nil
}

// receive transfers a chunk to v over its downlink.
func (v *vm) receive(ctx context.Context) error {
	return occupy(ctx, v.down, v.narrowed())
}

// reply transfers a request to v and the response back, without its chunk. On a narrow link both
// queue behind the chunks on it.
func (v *vm) reply(ctx context.Context) error {
	if v.narrowed() == 0 {
		return nil
	}
	if err := occupy(ctx, v.down, 0); err != nil {
		return err
	}
	return occupy(ctx, v.up, 0)
}

// occupy holds a link for d or until ctx is done.
func occupy(ctx context.Context, link chan struct{}, d time.Duration) error {
	select {
	case link <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-link }()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// linkedOrigin is the origin as seen by one VM, behind that VM's own link.
type linkedOrigin struct {
	*fakeOrigin
	v *vm
}

func (o linkedOrigin) ReadChunk(ctx context.Context, off, n int64) ([]byte, error) {
	b, err := o.fakeOrigin.ReadChunk(ctx, off, n)
	if o.v.narrowed() == 0 || err != nil {
		return b, err
	}
	return b, o.v.receive(ctx)
}

// network connects fake VMs in virtual time.
type network struct {
	g      Gomega
	ctx    context.Context
	origin *fakeOrigin

	mu          sync.Mutex
	vms         map[string]*vm
	partitioned map[string]bool
	cross       map[string]int
	// priorityReplies lets requests and refusals overtake the chunks on a narrow link.
	priorityReplies bool
	// options are appended to the default options of every download.
	options []swarm.Option
}

var errNoRoute = errors.New("no route to member")

// simulate runs f in virtual time with a new network.
func simulate(t *testing.T, f func(n *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		data, _ := version(0)
		n := &network{
			g: NewWithT(t), ctx: ctx, vms: map[string]*vm{}, partitioned: map[string]bool{}, cross: map[string]int{},
			origin: &fakeOrigin{data: data, reads: map[int]int{}, link: make(chan struct{}, 1)},
		}
		f(n)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

func member(i int, region string) swarm.Member {
	name := fmt.Sprintf("%s-%02d", region, i)
	return swarm.Member{VM: name, Addr: name, Zone: "z", Region: region}
}

func members(count int, region string) []swarm.Member {
	var out []swarm.Member
	for i := range count {
		out = append(out, member(i, region))
	}
	return out
}

// start starts a download of m by each member of list.
func (n *network) start(m *weights.Manifest, list []swarm.Member) {
	for _, x := range list {
		n.join(m, x, list)
	}
}

func (n *network) join(m *weights.Manifest, x swarm.Member, list []swarm.Member) {
	n.begin(x, weights.NewSet(m), list)
}

// begin starts a download of set by x.
func (n *network) begin(x swarm.Member, set *weights.Set, list []swarm.Member) {
	v := &vm{member: x, set: set, done: make(chan error, 1), up: make(chan struct{}, 1), down: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(n.ctx)
	v.cancel = cancel
	seed := uint64(len(x.VM)) + uint64(x.VM[len(x.VM)-1])
	opts := append([]swarm.Option{
		swarm.WithOriginBudget(originRate, swarm.DefaultCopies),
		swarm.WithRand(rand.New(rand.NewPCG(seed, 1))),
	}, n.options...)
	v.download = swarm.NewDownload(x, list, v.set, &memberTransport{n: n, from: x, own: v}, linkedOrigin{n.origin, v}, opts...)
	n.mu.Lock()
	n.vms[x.VM] = v
	n.mu.Unlock()
	go func() { v.done <- v.download.Run(ctx) }()
}

func (n *network) get(name string) *vm {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[name]
}

func (n *network) kill(name string) {
	v := n.get(name)
	v.update(func(v *vm) { v.dead = true })
	v.cancel()
}

// finish waits for at most limit until the download of every VM that is not dead is complete, and
// returns how long that took.
func (n *network) finish(limit time.Duration) time.Duration {
	return n.finishExcept(limit, "")
}

// finishExcept is like finish, but ignores the excluded VM.
func (n *network) finishExcept(limit time.Duration, excluded string) time.Duration {
	began := time.Now()
	n.mu.Lock()
	var list []*vm
	for _, v := range n.vms {
		if dead, _, _ := v.state(); !dead && v.member.VM != excluded {
			list = append(list, v)
		}
	}
	n.mu.Unlock()
	for _, v := range list {
		select {
		case err := <-v.done:
			n.g.Expect(err).NotTo(HaveOccurred(), v.member.VM)
		case <-time.After(limit - time.Since(began)):
			n.g.Expect(v.download.Stats()).To(BeNil(), v.member.VM+" is not complete within the limit")
		}
		n.g.Expect(v.set.VerifyWhole()).To(Succeed())
	}
	return time.Since(began)
}

// memberTransport is the Transport of one member.
type memberTransport struct {
	n    *network
	from swarm.Member
	own  *vm
}

// reach returns the VM of m. For an unreachable VM it returns an error, at once or if its link is
// stalled or partitioned, once ctx is done.
func (d *memberTransport) reach(ctx context.Context, m swarm.Member) (*vm, error) {
	v := d.n.get(m.VM)
	d.n.mu.Lock()
	cut := d.from.Region != m.Region && (d.n.partitioned[d.from.Region] || d.n.partitioned[m.Region])
	d.n.mu.Unlock()
	if v == nil {
		return nil, errNoRoute
	}
	dead, stalled, _ := v.state()
	if dead {
		return nil, errNoRoute
	}
	if stalled || cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return v, nil
}

func (d *memberTransport) Have(ctx context.Context, m swarm.Member, _ weights.Digest, since int) ([]int, error) {
	v, err := d.reach(ctx, m)
	if err != nil {
		return nil, err
	}
	list, more := v.set.Since(since)
	if len(list) == 0 {
		select {
		case <-more:
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		list, _ = v.set.Since(since)
	}
	return list, nil
}

func (d *memberTransport) Chunk(ctx context.Context, m swarm.Member, req swarm.ChunkRequest) ([]byte, error) {
	i := req.Chunk
	v, err := d.reach(ctx, m)
	if err != nil {
		return nil, err
	}
	if !d.n.priorityReplies {
		if err := v.reply(ctx); err != nil {
			return nil, err
		}
	}
	b := v.set.Get(i)
	if b == nil && v.download.Reading(i) {
		return nil, &swarm.RefusalError{Refusal: swarm.RefusalReading}
	}
	if b == nil {
		return nil, &swarm.RefusalError{Refusal: swarm.RefusalAbsent}
	}
	if err := v.send(ctx); err != nil {
		return nil, err
	}
	if d.own.narrowed() > 0 {
		if err := d.own.receive(ctx); err != nil {
			return nil, err
		}
	}
	if _, err := d.reach(ctx, m); err != nil {
		return nil, err
	}
	if d.from.Region != m.Region {
		d.n.mu.Lock()
		d.n.cross[d.from.Region]++
		d.n.mu.Unlock()
	}
	b = bytes.Clone(b)
	if _, _, corrupt := v.state(); corrupt {
		b[1] ^= 0xff
	}
	return b, ctx.Err()
}
