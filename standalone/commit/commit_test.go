package commit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silverdeck/silverdeck/standalone/commit"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

// fakeStore is a platform whose calls fail as the script says, one letter a
// call: "." well, "l" taken but the answer lost, "n" not taken, "d" down.
type fakeStore struct {
	value  objectstore.Value
	script string
}

func (f *fakeStore) next() byte {
	if f.script == "" {
		return '.'
	}
	c := f.script[0]
	f.script = f.script[1:]
	return c
}

func (f *fakeStore) Get(_ context.Context, key string) (objectstore.Value, error) {
	if c := f.next(); c == 'd' || c == 'n' {
		return objectstore.Value{}, &objectstore.UnavailableError{Err: errors.New("down")}
	}
	if f.value.Version == 0 {
		return objectstore.Value{}, &objectstore.NotFoundError{Key: key}
	}
	return f.value, nil
}

func (f *fakeStore) Put(_ context.Context, key string, data []byte, version int64) (int64, error) {
	c := f.next()
	switch {
	case c == 'd':
		return 0, &objectstore.UnavailableError{Err: errors.New("refused")}
	case c == 'n':
		return 0, &objectstore.UnavailableError{Taken: true, Err: errors.New("lost on the way")}
	case version != f.value.Version:
		return 0, &objectstore.ConflictError{Key: key}
	}
	f.value = objectstore.Value{Data: data, Version: version + 1}
	if c == 'l' {
		return 0, &objectstore.UnavailableError{Taken: true, Err: errors.New("answer lost")}
	}
	return f.value.Version, nil
}

func (f *fakeStore) Watch(ctx context.Context, key string, _ int64) (objectstore.Value, error) {
	return f.Get(ctx, key)
}

func change(i int) snapshot.Batch {
	o := object.Object{Kind: object.KindModel, Name: fmt.Sprintf("m%d", i), Spec: &object.ModelSpec{Source: "models/m"}}
	return snapshot.Batch{Author: "ada", Mark: fmt.Sprintf("mark %d", i), Changes: []snapshot.Change{{Op: snapshot.OpPut, Object: o, Expect: snapshot.AnyVersion}}}
}

func half() float64 { return 0.5 }

// Whatever the platform does, a batch is in the order at most once; it is when
// its writer was told so, and is not when its writer was told that it was not.
// Spec steps: config.pml, "accept" and "readback".
func TestEachBatchIsAcceptedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.StringMatching(`[.lnd]{0,30}`), 1, 6).Draw(rt, "faults of each batch")
		var wrong error
		synctest.Test(t, func(*testing.T) { wrong = commitAll(faults) })
		if wrong != nil {
			rt.Fatal(wrong)
		}
	})
}

// commitAll commits a batch under each of the faults and returns what was
// wrong with the order or with what the writer was told.
func commitAll(faults []string) error {
	f := &fakeStore{}
	c := commit.New(f, snapshot.NewHolder(), half)
	last := int64(0)
	for i, script := range faults {
		f.script = script
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_, err := c.Commit(ctx, change(i))
		cancel()
		f.script = ""
		s, _, rerr := c.Read(context.Background())
		if rerr != nil {
			return rerr
		}
		var unknown *commit.UnknownError
		has := s.HasMark(fmt.Sprintf("mark %d", i))
		if (err == nil) != has && !errors.As(err, &unknown) {
			return fmt.Errorf("told %w, accepted %t", err, has)
		}
		if s.Revision > last+1 || (s.Revision == last) == has {
			return fmt.Errorf("revision %d after %d, accepted %t", s.Revision, last, has)
		}
		last = s.Revision
	}
	return nil
}

func TestAConflictIsNotTriedAgain(t *testing.T) {
	g := NewWithT(t)
	c := commit.New(&fakeStore{}, snapshot.NewHolder(), half)
	_, err := c.Commit(context.Background(), change(1))
	g.Expect(err).NotTo(HaveOccurred())
	b := change(1)
	b.Changes[0].Expect = 0
	_, err = c.Commit(context.Background(), b)
	g.Expect(err).NotTo(HaveOccurred(), "the same mark is the same write")
	b.Mark = "another"
	_, err = c.Commit(context.Background(), b)
	var conflict *snapshot.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
}
