package object

import (
	"encoding/hex"
	"regexp"
	"strconv"

	"k8s.io/apimachinery/pkg/util/validation"
)

// DigestSize is the length in bytes of every digest in the configuration.
const DigestSize = 32

// MaxTimeoutMillis is the longest timeout that a service may ask for.
const MaxTimeoutMillis = 3_600_000

// sourcePath has no segment that begins with a dot, and so none that leads up.
var sourcePath = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9._-]*(/[A-Za-z0-9_-][A-Za-z0-9._-]*)*$`)

// Validate returns the first thing that is wrong with o by itself.
func Validate(o Object) error {
	c := checker{ref: o.Ref()}
	c.name("name", o.Name)
	c.labels(o.Labels)
	switch s := o.Spec.(type) {
	case *ModelSpec:
		c.source("spec.source", s.Source)
	case *AdapterSpec:
		c.name("spec.model", s.Model)
		c.source("spec.source", s.Source)
	case *RolloutSpec:
		c.rollout(s)
	case *ServiceSpec:
		c.service(s)
	case *AccountSpec:
		c.account(s)
	case *DrainSpec:
		c.selector("spec.vms", s.VMs)
	default:
		c.fail("spec", "", "a spec of the object's kind")
	}
	if c.err == nil {
		return nil
	}
	return c.err
}

type checker struct {
	ref Ref
	err *FieldError
}

func (c *checker) fail(field, value, want string) {
	if c.err == nil {
		c.err = &FieldError{Object: c.ref, Field: field, Value: value, Want: want}
	}
}

func (c *checker) name(field, s string) {
	if len(validation.IsDNS1123Label(s)) > 0 {
		c.fail(field, s, "lower case letters, digits and dashes, 63 at most")
	}
}

func (c *checker) labels(l map[string]string) {
	for k, v := range l {
		if len(validation.IsQualifiedName(k)) > 0 {
			c.fail("labels", k, "a label key")
		}
		if len(validation.IsValidLabelValue(v)) > 0 {
			c.fail("labels."+k, v, "a label value")
		}
	}
}

func (c *checker) source(field, s string) {
	if !sourcePath.MatchString(s) {
		c.fail(field, s, "a path at the origin, such as models/tiny")
	}
}

func (c *checker) selector(field, s string) {
	if _, err := ParseSelector(s); err != nil {
		c.fail(field, s, "a label selector, such as zone=a,tier!=test ("+err.Error()+")")
	}
}

func (c *checker) notNegative(field string, n int64) {
	if n < 0 {
		c.fail(field, strconv.FormatInt(n, 10), "zero or more")
	}
}

func (c *checker) digest(field, s string) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != DigestSize {
		c.fail(field, s, "a hex digest of 32 bytes")
	}
}

func (c *checker) rollout(s *RolloutSpec) {
	if (s.Model == "") == (s.Adapter == "") {
		c.fail("spec.model", s.Model, "exactly one of model and adapter")
	}
	if !sourcePath.MatchString(s.Weights) {
		c.fail("spec.weights", s.Weights, "a version, such as v1")
	}
	c.selector("spec.vms", s.VMs)
	c.selector("spec.accounts", s.Accounts)
	if s.Root != "" {
		c.digest("spec.root", s.Root)
	}
	c.notNegative("spec.strategy.batch", int64(s.Strategy.Batch))
	c.notNegative("spec.strategy.maxFailed", int64(s.Strategy.MaxFailed))
	c.notNegative("spec.budget.bytesPerSecond", s.Budget.BytesPerSecond)
	if s.Budget.Copies != 0 && s.Budget.Copies < 1 {
		c.fail("spec.budget.copies", strconv.FormatFloat(s.Budget.Copies, 'g', -1, 64), "1 or more")
	}
}

func (c *checker) service(s *ServiceSpec) {
	if s.Adapter != "" && s.Model == "" {
		c.fail("spec.adapter", s.Adapter, "a model beside the adapter")
	}
	c.selector("spec.vms", s.VMs)
	c.selector("spec.accounts", s.Accounts)
	switch s.Class {
	case "", ClassUrgent, ClassNormal, ClassBulk:
	default:
		c.fail("spec.class", string(s.Class), "urgent, normal or bulk")
	}
	if s.TimeoutMillis < 0 || s.TimeoutMillis > MaxTimeoutMillis {
		c.fail("spec.timeoutMillis", strconv.FormatInt(s.TimeoutMillis, 10), "0 to 3600000")
	}
}

func (c *checker) account(s *AccountSpec) {
	for _, d := range s.KeyDigests {
		c.digest("spec.keyDigests", d)
	}
	c.notNegative("spec.share", int64(s.Share))
}
