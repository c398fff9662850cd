package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

type applyCmd struct {
	Files    []string `arg:"-f,--file,separate" help:"file or folder of objects in JSON; - is standard input"`
	TakeOver bool     `arg:"--take-over" help:"also change objects that somebody else changed last"`

	diff, validate bool
}

// errNoFile asks for a file.
var errNoFile = &exitError{status: exitUsage, err: errors.New("no file; name one with -f")}

func (a *applyCmd) run(ctx context.Context, c *operator.Client) error {
	if len(a.Files) == 0 && a.validate {
		return validateInForce(ctx, c)
	}
	if len(a.Files) == 0 {
		return errNoFile
	}
	objects, err := readObjects(a.Files)
	if err != nil {
		return &exitError{status: exitUsage, err: err}
	}
	current, err := c.Snapshot(ctx)
	if err != nil {
		return err
	}
	changes, err := a.changes(current, objects, c.Operator)
	if err != nil {
		return err
	}
	if a.diff {
		return printDiff(os.Stdout, current, changes)
	}
	if len(changes) == 0 && !a.validate {
		fmt.Println("nothing to change; revision", current.Revision)
		return nil
	}
	r, err := c.Apply(ctx, operator.ApplyRequest{Changes: changes, Base: current.Revision, DryRun: a.validate})
	if err != nil {
		return err
	}
	if !a.validate {
		fmt.Printf("accepted %d changes as revision %d\n", len(changes), r.Revision)
	}
	return printWarnings(r.Warnings, a.validate)
}

func validateInForce(ctx context.Context, c *operator.Client) error {
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	return printWarnings(s.Warnings, true)
}

// changes returns what differs between the files and the configuration. A file
// that names no version may not overwrite what another operator changed last.
func (a *applyCmd) changes(s *snapshot.Snapshot, objects []object.Object, me string) ([]snapshot.Change, error) {
	var out []snapshot.Change
	for _, o := range objects {
		old := s.Find(o.Ref())
		ch := snapshot.Change{Op: snapshot.OpPut, Object: o, Expect: o.Version}
		ch.Object.Version = 0
		ch.Object.ChangedBy = ""
		if old != nil && same(*old, ch.Object) {
			continue
		}
		if old != nil && o.Version == 0 {
			if old.ChangedBy != me && !a.TakeOver {
				return nil, &exitError{status: exitConflict, err: &snapshot.ConflictError{
					Object: o.Ref(), With: o.Ref(), Version: old.Version, By: old.ChangedBy,
					Reason: "your file names no version; get it again, or use --take-over",
				}}
			}
			ch.Expect = old.Version
		}
		out = append(out, ch)
	}
	return out, nil
}

// same returns whether o declares what old has in force. What the system
// filled in itself does not count.
func same(old, o object.Object) bool {
	old.Version, old.ChangedBy = 0, ""
	if spec, ok := old.Spec.(*object.RolloutSpec); ok {
		c := *spec
		n := o.Spec.(*object.RolloutSpec)
		c.Previous = n.Previous
		if n.Root == "" {
			c.Root = ""
		}
		old.Spec = &c
	}
	a, _ := json.Marshal(old)
	b, _ := json.Marshal(o)
	return string(a) == string(b)
}

// readObjects reads the objects of files and folders.
func readObjects(files []string) ([]object.Object, error) {
	var out []object.Object
	for _, name := range files {
		names := []string{name}
		if info, err := os.Stat(name); err == nil && info.IsDir() {
			names, _ = filepath.Glob(filepath.Join(name, "*.json"))
		}
		for _, n := range names {
			list, err := readFile(n)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", n, err)
			}
			out = append(out, list...)
		}
	}
	return out, nil
}

// readFile reads a file of one object after the other.
func readFile(name string) ([]object.Object, error) {
	r := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	var out []object.Object
	d := json.NewDecoder(r)
	for {
		var o object.Object
		err := d.Decode(&o)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		if err := object.Validate(o); err != nil {
			return nil, err
		}
		out = append(out, o)
	}
}

type deleteCmd struct {
	Object string `arg:"positional,required" help:"Kind/name"`
}

func (d *deleteCmd) run(ctx context.Context, c *operator.Client) error {
	s, o, err := find(ctx, c, d.Object)
	if err != nil {
		return err
	}
	return change(ctx, c, s, snapshot.Change{Op: snapshot.OpDelete, Object: *o, Expect: o.Version})
}

type labelCmd struct {
	Object string   `arg:"positional,required" help:"Kind/name"`
	Labels []string `arg:"positional,required" help:"key=value, or key- to remove"`
}

func (l *labelCmd) run(ctx context.Context, c *operator.Client) error {
	s, o, err := find(ctx, c, l.Object)
	if err != nil {
		return err
	}
	if o.Labels == nil {
		o.Labels = map[string]string{}
	}
	for _, text := range l.Labels {
		if key, ok := strings.CutSuffix(text, "-"); ok {
			delete(o.Labels, key)
			continue
		}
		key, value, ok := strings.Cut(text, "=")
		if !ok {
			return &exitError{status: exitUsage, err: fmt.Errorf("%q is neither key=value nor key-", text)}
		}
		o.Labels[key] = value
	}
	return change(ctx, c, s, snapshot.Change{Op: snapshot.OpPut, Object: *o, Expect: o.Version})
}

// find returns the object that text names as Kind/name.
func find(ctx context.Context, c *operator.Client, text string) (*snapshot.Snapshot, *object.Object, error) {
	ref, err := parseRef(text)
	if err != nil {
		return nil, nil, err
	}
	s, err := c.Snapshot(ctx)
	if err != nil {
		return nil, nil, err
	}
	o := s.Find(ref)
	if o == nil {
		return nil, nil, fmt.Errorf("%s does not exist", ref)
	}
	return s, o, nil
}

func parseRef(text string) (object.Ref, error) {
	kind, name, ok := strings.Cut(text, "/")
	for _, k := range object.Kinds() {
		if ok && strings.EqualFold(string(k), kind) {
			return object.Ref{Kind: k, Name: name}, nil
		}
	}
	return object.Ref{}, &exitError{status: exitUsage, err: fmt.Errorf("%q is no Kind/name; kinds are %v", text, object.Kinds())}
}

// change applies one change and says so.
func change(ctx context.Context, c *operator.Client, s *snapshot.Snapshot, ch snapshot.Change) error {
	r, err := c.Apply(ctx, operator.ApplyRequest{Changes: []snapshot.Change{ch}, Base: s.Revision})
	if err != nil {
		return err
	}
	fmt.Printf("%s: accepted as revision %d\n", ch.Object.Ref(), r.Revision)
	return printWarnings(r.Warnings, false)
}
