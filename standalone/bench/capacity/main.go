// Command capacity measures the slopes from which docs/CAPACITY.md works out
// the size of two years from now: how state, messages and work grow with
// objects, VMs, members and chunks. It measures parts, not a fleet.
package main

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/silverdeck/silverdeck/standalone/fleet"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/standalone/router"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// sizes at which each part is measured; the last is the size to come.
var (
	objectCounts = []int{100, 400, 1600}
	vmCounts     = []int{140, 560, 2240}
	memberCounts = []int{100, 400, 1100}
)

// targetChunks is how many chunks weights of 8 GB have at 4 MiB each.
const targetChunks = 2000

func main() {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(table.Row{"part", "at", "figure"})
	add := func(part string, n int, figure string) { t.AppendRow(table.Row{part, n, figure}) }
	for _, n := range objectCounts {
		s := configuration(n)
		b, err := snapshot.Encode(s)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		add("snapshot under one key, compressed, by objects", n, fmt.Sprintf("%d bytes, encoded in %s", len(b), took(func() { _, _ = snapshot.Encode(s) })))
	}
	for _, n := range vmCounts {
		l := vmList(n)
		b, _ := json.Marshal(l)
		s := configuration(400)
		add("list of VMs, by VMs", n, fmt.Sprintf("%d bytes", len(b)))
		add("plan for 400 objects, by VMs", n, took(func() { plan.Make(s, l) }).String())
		table := endpoints(n)
		add("hash of the endpoint table, by VMs", n, took(func() { table.Hash() }).String())
		add("choosing an endpoint for a request, by VMs", n, took(picker(l, table)).String())
		add("one exchange between entries that agree, by VMs", n, fmt.Sprintf("%d bytes", encoded(peer.ExchangeRequest{From: "entry-100", Revision: 9, ListVersion: 9, TableHash: 1<<63 + 1})+encoded(peer.ExchangeReply{Revision: 9, ListVersion: 9})))
	}
	for _, n := range memberCounts {
		members := (&plan.Rollout{VMs: vmList(n).VMs}).Members()
		add("directive that names the members, by members", n, fmt.Sprintf("%d bytes", encoded(peer.Directive{Assignments: []peer.Assignment{{Members: members}}})))
		set := weights.NewSet(manifest())
		add("beginning a download of 2,000 chunks, by members", n, took(func() { swarm.NewDownload(members[0], members, set, nil, nil) }).String())
	}
	add("report of an agent", 1, fmt.Sprintf("%d bytes", encoded(peer.Report{
		VM: "runner-1000", Addr: "10.0.0.1:7000", Zone: "kingston", Region: "jamaica", Incarnation: 1 << 60, Seq: 100, State: peer.StateServing,
		Loaded: []peer.Loaded{{Rollout: "reader", Model: "reader", Weights: "v1"}}, Progress: []peer.Progress{{Rollout: "reader", Live: true}},
	})))
	t.Render()
}

// models is how many models a configuration has beside its other objects.
const models = 20

// took returns the shortest of some times that f takes.
func took(f func()) time.Duration {
	best := time.Hour
	for range 5 {
		began := time.Now()
		f()
		best = min(best, time.Since(began))
	}
	return best.Round(time.Microsecond)
}

// encoded returns the size of a message after the types are known, in bytes.
func encoded(v any) int {
	var b bytes.Buffer
	e := gob.NewEncoder(io.Discard)
	_ = e.Encode(v)
	first := gob.NewEncoder(&b)
	_ = first.Encode(v)
	types := b.Len()
	_ = first.Encode(v)
	return b.Len() - types
}

// configuration has n objects: a tenth of them rollouts.
func configuration(n int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Revision: 1}
	for i := range models {
		name := fmt.Sprintf("model-%03d", i)
		s.Objects = append(s.Objects, object.Object{Kind: object.KindModel, Name: name, Spec: &object.ModelSpec{Source: "models/" + name}})
	}
	for i := range n {
		o := object.Object{Kind: object.KindService, Name: fmt.Sprintf("service-%04d", i), Version: int64(i), ChangedBy: "ada",
			Labels: map[string]string{"team": fmt.Sprintf("team-%d", i%40)}, Spec: &object.ServiceSpec{
				Model: fmt.Sprintf("model-%03d", i%models), VMs: fmt.Sprintf("zone in (zone-%d),tier!=test", i%6), Accounts: "team=claims", Class: object.ClassNormal,
			}}
		if i%10 == 0 {
			o.Kind, o.Name = object.KindRollout, fmt.Sprintf("rollout-%04d", i)
			o.Spec = &object.RolloutSpec{Model: fmt.Sprintf("model-%03d", i%models), Weights: "v1",
				VMs: fmt.Sprintf("zone=zone-%d", i%6), Root: weights.Sum([]byte(o.Name)).String()}
		}
		s.Objects = append(s.Objects, o)
	}
	slices.SortFunc(s.Objects, func(a, b object.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return s
}

func vmList(n int) *objectstore.VMList {
	l := &objectstore.VMList{Version: 1}
	for i := range n {
		l.VMs = append(l.VMs, objectstore.VM{Name: fmt.Sprintf("runner-%04d", i), Addr: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
			Role: objectstore.RoleModel, Zone: fmt.Sprintf("zone-%d", i%6), Region: fmt.Sprintf("region-%d", i%3), Labels: map[string]string{"tier": "prod"}})
	}
	return l
}

func endpoints(n int) *fleet.Table {
	t := fleet.NewTable()
	for _, vm := range vmList(n).VMs {
		t.Heard(&peer.Report{VM: vm.Name, Addr: vm.Addr, Incarnation: 1, Seq: 1}, time.Now())
	}
	return t
}

// picker returns a function that chooses an endpoint among those of t.
func picker(l *objectstore.VMList, t *fleet.Table) func() {
	p := plan.Make(configuration(400), l)
	for _, vm := range l.VMs {
		t.Heard(&peer.Report{VM: vm.Name, Incarnation: 1, Seq: 2, State: peer.StateServing, Loaded: []peer.Loaded{{Rollout: "bench", Model: "model-000"}}}, time.Now())
	}
	p.Rollouts["bench"] = &plan.Rollout{Model: "model-000", Spec: &object.RolloutSpec{Model: "model-000"}}
	r := router.New(t, rand.New(rand.NewPCG(1, 2)))
	q := router.Query{Service: &object.ServiceSpec{Model: "model-000", VMs: "tier=prod"}}
	return func() {
		c, err := r.Pick(p, q, time.Now())
		if err != nil {
			panic(err)
		}
		r.Done(c.Endpoint.VM, nil, time.Now())
	}
}

func manifest() *weights.Manifest {
	m := &weights.Manifest{Size: targetChunks << 22, ChunkSize: 1 << 22, Chunks: make([]weights.Digest, targetChunks)}
	return m
}
