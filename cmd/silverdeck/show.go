package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

// outputJSON asks for JSON.
const outputJSON = "json"

type getCmd struct {
	What   string `arg:"positional" help:"a Kind, Kind/name, endpoints, or nothing for all objects"`
	Output string `arg:"-o,--output" default:"table" help:"table or json"`
}

func (g *getCmd) run(ctx context.Context, c *operator.Client) error {
	if g.What == "endpoints" {
		return g.endpoints(ctx, c)
	}
	if strings.Contains(g.What, "/") {
		_, o, err := find(ctx, c, g.What)
		if err != nil {
			return err
		}
		return printJSON(o)
	}
	s, err := c.Snapshot(ctx)
	if err != nil {
		return err
	}
	objects := s.Objects
	if g.What != "" {
		ref, err := parseRef(g.What + "/")
		if err != nil {
			return err
		}
		objects = s.OfKind(ref.Kind)
	}
	if g.Output == outputJSON {
		return printJSON(objects)
	}
	t := newTable("KIND", "NAME", "LABELS", "VERSION", "CHANGED BY")
	for _, o := range objects {
		t.AppendRow(table.Row{o.Kind, o.Name, formatLabels(o.Labels), o.Version, o.ChangedBy})
	}
	t.Render()
	return nil
}

func (g *getCmd) endpoints(ctx context.Context, c *operator.Client) error {
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if g.Output == outputJSON {
		return printJSON(s.Endpoints)
	}
	t := newTable("VM", "ZONE", "STATE", "REVISION", "LOADED", "RUNNING", "QUEUED", "SLOTS")
	for _, e := range s.Endpoints {
		t.AppendRow(table.Row{e.VM, e.Zone, e.State, e.Revision, strings.Join(e.Loaded, " "), e.Running, e.Queued, e.Slots})
	}
	t.Render()
	fmt.Printf("revision %d in force on %d of %d, oldest %d\n", s.Revision, s.InForce.On, s.InForce.Of, s.InForce.Oldest)
	return nil
}

type describeCmd struct {
	Object string `arg:"positional,required" help:"Kind/name"`
}

func (d *describeCmd) run(ctx context.Context, c *operator.Client) error {
	_, o, err := find(ctx, c, d.Object)
	if err != nil {
		return err
	}
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if err := printJSON(o); err != nil {
		return err
	}
	if o.Kind == object.KindRollout {
		for _, r := range s.Rollouts {
			if r.Name == o.Name {
				printRollout(r)
			}
		}
	}
	var mine []plan.Warning
	for _, w := range s.Warnings {
		if w.Object == o.Ref() || w.With == o.Ref() {
			mine = append(mine, w)
		}
	}
	return printWarnings(mine, false)
}

type eventsCmd struct {
	Output string `arg:"-o,--output" default:"table" help:"table or json"`
}

func (e *eventsCmd) run(ctx context.Context, c *operator.Client) error {
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if e.Output == outputJSON {
		return printJSON(s.Events)
	}
	t := newTable("AT", "KIND", "BY", "TEXT")
	for _, v := range s.Events {
		t.AppendRow(table.Row{v.At.Format("15:04:05.000"), v.Kind, v.By, v.Text})
	}
	t.Render()
	return nil
}

func newTable(head ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleDefault)
	t.Style().Options = table.OptionsNoBordersAndSeparators
	t.AppendHeader(table.Row(head))
	return t
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func formatLabels(l map[string]string) string {
	b, _ := json.Marshal(l)
	return strings.NewReplacer(`"`, "", "{", "", "}", "", ":", "=", "null", "").Replace(string(b))
}

// printWarnings shows warnings on standard error; with strict set they are a failure.
func printWarnings(list []plan.Warning, strict bool) error {
	for _, w := range list {
		with := ""
		if w.With.Name != "" {
			with = " (with " + w.With.String() + ")"
		}
		fmt.Fprintf(os.Stderr, "warning: %s%s: %s\n", w.Object, with, w.Text)
	}
	if strict && len(list) > 0 {
		return &exitError{status: exitWarnings, err: fmt.Errorf("%d warnings", len(list))}
	}
	return nil
}

// printDiff shows what changes would do, object by object.
func printDiff(w io.Writer, s *snapshot.Snapshot, changes []snapshot.Change) error {
	for _, c := range changes {
		old := s.Find(c.Object.Ref())
		if old != nil {
			b, err := json.Marshal(old)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(w, "- %s\n", b)
		}
		b, err := json.Marshal(c.Object)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "+ %s\n", b)
	}
	return nil
}
