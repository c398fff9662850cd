package jsonsplit_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/jsonsplit"
)

// deep is nested deeper than encoding/json decodes.
var deep = strings.Repeat(`{"a":[`, 200_000) + strings.Repeat(`]}`, 200_000)

func TestArray(t *testing.T) {
	for text, want := range map[string][]string{
		`[]`:                       nil,
		" [ ] \n":                  nil,
		`[1]`:                      {`1`},
		`[ 1 , "a,]" ,null]`:       {`1`, `"a,]"`, `null`},
		`[{"a":[1,{}]},[[]],true]`: {`{"a":[1,{}]}`, `[[]]`, `true`},
		`["\"",-1e999,"\\"]`:       {`"\""`, `-1e999`, `"\\"`},
		`[1,` + deep + `,2]`:       {`1`, deep, `2`},
		`[{"a":nonsense},2]`:       {`{"a":nonsense}`, `2`},
	} {
		g := NewWithT(t)
		elements, err := jsonsplit.Array([]byte(text))
		g.Expect(err).NotTo(HaveOccurred(), "%.40q", text)
		var got []string
		for _, e := range elements {
			got = append(got, string(e))
		}
		g.Expect(got).To(Equal(want), "%.40q", text)
	}
}

func TestObject(t *testing.T) {
	g := NewWithT(t)
	members, err := jsonsplit.Object([]byte(` { "a" : 1 , "b\u0063":{"a":2},"deep":` + deep + `,"a":3,"n":null} `))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(members).To(HaveLen(4))
	g.Expect(string(members["a"])).To(Equal("3"))
	g.Expect(string(members["bc"])).To(Equal(`{"a":2}`))
	g.Expect(string(members["deep"])).To(Equal(deep))
	g.Expect(string(members["n"])).To(Equal("null"))
}

func TestAValueThatIsCutShortIsNotSplit(t *testing.T) {
	const text = `{"items":[{"a":"x\"]}"},[1,2],null],"more":false,"at":12}`
	for n := range len(text) {
		_, err := jsonsplit.Object([]byte(text[:n]))
		NewWithT(t).Expect(err).To(HaveOccurred(), text[:n])
	}
}

func TestWhatIsNoListIsNotSplit(t *testing.T) {
	for _, text := range []string{``, `1`, `{}`, `[1 2]`, `[1,]`, `[,1]`, `[1]]`, `[1] 2`, `["a" "b"]`, `[[1]`, `["a]`} {
		_, err := jsonsplit.Array([]byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
	for _, text := range []string{``, `[]`, `{1:2}`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{"a":1 "b":2}`, `{"a":1}}`, `{a:1}`, `{"a" 1}`} {
		_, err := jsonsplit.Object([]byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}

func TestDecode(t *testing.T) {
	g := NewWithT(t)
	name, revision, missing, raw := "", int64(0), "as it was", json.RawMessage(nil)
	targets := map[string]any{"name": &name, "revision": &revision, "missing": &missing, "raw": &raw}
	g.Expect(jsonsplit.Decode([]byte(`{"other":`+deep+`,"name":"x","raw":`+deep+`,"revision":7}`), targets)).To(Succeed())
	g.Expect([]any{name, revision, missing, string(raw)}).To(Equal([]any{"x", int64(7), "as it was", deep}))
	g.Expect(jsonsplit.Decode([]byte(`{"name":"x","revision":"7"}`), targets)).To(MatchError(ContainSubstring("revision")))
	g.Expect(jsonsplit.Decode([]byte(`7`), targets)).To(MatchError(jsonsplit.ErrKind))
}

// FuzzSplit checks that what encoding/json reads is split in the same parts.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[1,"a",{"b":[]}]`, `{"a":1,"b":{"c":"}"}}`, ` [ "\\" , null ] `, deep, `[` + deep + `]`, `{"a":`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		elements, arrayErr := jsonsplit.Array(data)
		members, objectErr := jsonsplit.Object(data)
		g.Expect(arrayErr == nil && objectErr == nil).To(BeFalse())
		var wantElements []json.RawMessage
		if strings.TrimSpace(string(data)) != "null" && json.Unmarshal(data, &wantElements) == nil {
			g.Expect(arrayErr).NotTo(HaveOccurred())
			g.Expect(len(elements)).To(Equal(len(wantElements)))
			for i := range elements {
				g.Expect(string(elements[i])).To(Equal(string(wantElements[i])))
			}
		}
		var wantMembers map[string]json.RawMessage
		if strings.TrimSpace(string(data)) != "null" && json.Unmarshal(data, &wantMembers) == nil {
			g.Expect(objectErr).NotTo(HaveOccurred())
			g.Expect(len(members)).To(Equal(len(wantMembers)))
			for key := range wantMembers {
				g.Expect(string(members[key])).To(Equal(string(wantMembers[key])))
			}
		}
	})
}
