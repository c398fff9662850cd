package compat_test

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/gateway/tokens"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/standalone/agent"
	"github.com/silverdeck/silverdeck/standalone/entry"
	"github.com/silverdeck/silverdeck/standalone/peer"
)

// message is a net/rpc message and how to make and read one.
type message struct {
	name   string
	value  any
	decode func([]byte) (any, error)
}

func of[T any](name string) message {
	return message{name: name, value: filled[T](), decode: func(b []byte) (any, error) {
		v := new(T)
		return v, gob.NewDecoder(bytes.NewReader(b)).Decode(v)
	}}
}

// messages are all arguments and replies of net/rpc, in the order in which they
// are first encoded: gob numbers types by it. New ones belong at the end.
var messages = []message{
	of[peer.Report]("Report"),
	of[peer.Directive]("Directive"),
	of[peer.ExchangeRequest]("ExchangeRequest"),
	of[peer.ExchangeReply]("ExchangeReply"),
	of[exchange.HaveRequest]("HaveRequest"),
	of[exchange.HaveReply]("HaveReply"),
	of[exchange.ManifestRequest]("ManifestRequest"),
	of[exchange.ManifestReply]("ManifestReply"),
	of[stage.VersionRequest]("VersionRequest"),
	of[replica.StateRequest]("StateRequest"),
	of[replica.StateReply]("StateReply"),
	of[inventory.Query]("Query"),
	of[inventory.Inventory]("Inventory"),
	of[inventory.NamingsQuery]("NamingsQuery"),
	of[inventory.NamingsReply]("NamingsReply"),
	of[member.RollRequest]("RollRequest"),
	of[member.RollReply]("RollReply"),
	of[poison.BeginRequest]("BeginRequest"),
	of[poison.BeginReply]("BeginReply"),
	of[poison.EndRequest]("EndRequest"),
	of[poison.EndReply]("EndReply"),
	of[leases.LoadRequest]("LoadRequest"),
	of[leases.LoadReply]("LoadReply"),
	of[tokens.TakeRequest]("TakeRequest"),
	of[tokens.TakeReply]("TakeReply"),
}

// encoded are the messages as they are sent, one a line, made before any test
// can encode something else.
var encoded = encodeMessages()

func encodeMessages() string {
	var out strings.Builder
	for _, m := range messages {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(m.value); err != nil {
			panic(err)
		}
		fmt.Fprintf(&out, "%s %s\n", m.name, hex.EncodeToString(b.Bytes()))
	}
	return out.String()
}

func TestMessagesKeepTheirBytes(t *testing.T) {
	golden(t, "rpc.golden", encoded)
}

func TestMessagesOfTheReleaseBeforeAreRead(t *testing.T) {
	file, err := os.ReadFile(filepath.Join("testdata", "rpc.golden"))
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(file)), "\n") {
		name, text, _ := strings.Cut(line, " ")
		data, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := messages[i].decode(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := cmp.Diff(messages[i].value, got); diff != "" {
			t.Errorf("%s is read otherwise (-sent +read):\n%s", name, diff)
		}
	}
}

// services are the receivers of net/rpc by the name under which they stand.
var services = map[string]reflect.Type{
	exchange.Service:      reflect.TypeFor[*exchange.Server](),
	stage.ManifestService: reflect.TypeFor[*stage.ManifestServer](),
	agent.EntryService:    reflect.TypeFor[*entry.Service](),
	inventory.Service:     reflect.TypeFor[*inventory.Server](),
	replica.ServiceName:   reflect.TypeFor[*replica.Service](),

	member.RollServiceName: reflect.TypeFor[*member.RollService](),
	tokens.ServiceName:     reflect.TypeFor[*tokens.Service](),
}

func TestMethodsKeepTheirNames(t *testing.T) {
	var lines []string
	for name, receiver := range services {
		for i := range receiver.NumMethod() {
			if m := receiver.Method(i); isRPC(m.Type) {
				lines = append(lines, fmt.Sprintf("%s.%s %s %s", name, m.Name, typeName(m.Type.In(1)), typeName(m.Type.In(2))))
			}
		}
	}
	golden(t, "methods.golden", sortedLines(lines))
}

// isRPC returns whether net/rpc serves a method of type m.
func isRPC(m reflect.Type) bool {
	return m.NumIn() == 3 && m.NumOut() == 1 && m.In(2).Kind() == reflect.Pointer &&
		m.Out(0) == reflect.TypeFor[error]()
}

func typeName(t reflect.Type) string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.Name()
}
