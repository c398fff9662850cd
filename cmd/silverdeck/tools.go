package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"

	"github.com/zeebo/blake3"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/weights"
)

type drainCmd struct {
	VM     string `arg:"positional,required" help:"name of a VM"`
	Reason string `arg:"--reason" default:"by hand"`
}

func (d *drainCmd) run(ctx context.Context, c *operator.Client) error {
	s, err := c.Snapshot(ctx)
	if err != nil {
		return err
	}
	o := object.Object{Kind: object.KindDrain, Name: d.VM, Spec: &object.DrainSpec{VMs: object.LabelVM + "=" + d.VM, Reason: d.Reason}}
	ch := snapshot.Change{Op: snapshot.OpPut, Object: o}
	if old := s.Find(o.Ref()); old != nil {
		ch.Expect = old.Version
	}
	return change(ctx, c, s, ch)
}

type undrainCmd struct {
	VM string `arg:"positional,required" help:"name of a VM"`
}

func (d *undrainCmd) run(ctx context.Context, c *operator.Client) error {
	return (&deleteCmd{Object: string(object.KindDrain) + "/" + d.VM}).run(ctx, c)
}

type manifestCmd struct {
	File     string `arg:"positional,required" help:"file of weights"`
	ChunkKiB int64  `arg:"--chunk-kib" default:"4096" help:"size of a chunk"`
}

func (m *manifestCmd) run(context.Context, *operator.Client) error {
	f, err := os.Open(m.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	out, err := weights.NewManifest(f, m.ChunkKiB<<10)
	if err != nil {
		return err
	}
	return printJSON(out)
}

type keyCmd struct {
	Key string `arg:"positional,required" help:"the key"`
}

func (k *keyCmd) run(context.Context, *operator.Client) error {
	sum := blake3.Sum256([]byte(k.Key))
	_, err := fmt.Println(hex.EncodeToString(sum[:]))
	return err
}
