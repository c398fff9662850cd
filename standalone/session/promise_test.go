package session_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standalone/caller"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/standalone/standin"
	"github.com/silverdeck/silverdeck/standalone/ticket"
	"github.com/silverdeck/silverdeck/verdict"
)

// started plays f once v1 is live on all runners, at all entries.
func started(t *testing.T, entries, runners int, f func(w *world)) {
	play(t, entries, runners, func(w *world) {
		time.Sleep(2 * time.Second)
		_, err := w.apply(0, "ada", 0, basics(0)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		for i := range entries {
			w.live(i, "v1", runners, 30*time.Second)
		}
		time.Sleep(time.Second)
		f(w)
	})
}

// askMany sends requests of n words, spread over a time and over all entries,
// and returns the answers.
func (w *world) askMany(count, n int, over time.Duration) []answer {
	out := make([]answer, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { out[i] = w.ask(i%len(w.entries), fmt.Sprintf("claim %d at %s", i, time.Now()), n) })
		time.Sleep(over / time.Duration(count))
	}
	wg.Wait()
	return out
}

func put(o object.Object, expect int64) snapshot.Change {
	return snapshot.Change{Op: snapshot.OpPut, Object: o, Expect: expect}
}

// drainOf is what the operators' drain command applies.
func drainOf(vm string) snapshot.Change {
	return put(object.Object{Kind: object.KindDrain, Name: vm, Spec: &object.DrainSpec{VMs: "vm=" + vm, Reason: "test"}}, 0)
}

func TestARequestIsServedEndToEnd(t *testing.T) {
	started(t, 2, 3, func(w *world) {
		for i := range 2 {
			a := w.ask(i, "two nights in Mandeville", 8)
			w.g.Expect(a.right(8)).To(BeTrue(), a.body)
		}
		p := w.send(0, "/services/quotes/alert/1", `{"alert":1}`)
		w.g.Expect(p.body).To(Equal(standin.PlainAnswer("/alert/1", []byte(`{"alert":1}`))))
	})
}

func TestAStreamIsWholeOrMarkedAsCut(t *testing.T) {
	started(t, 2, 1, func(w *world) {
		body := `{"model":"claims","stream":true,"max_tokens":100,"messages":["x"]}`
		a := w.send(0, "/v1/chat/completions", body)
		w.g.Expect(strings.TrimSpace(a.body)).To(HaveSuffix("data: [DONE]"))
		var killed sync.WaitGroup
		killed.Go(func() {
			time.Sleep(500 * time.Millisecond)
			w.killAgent("runner-0")
		})
		a = w.send(0, "/v1/chat/completions", body)
		killed.Wait()
		w.g.Expect(a.body).NotTo(ContainSubstring("[DONE]"))
		w.g.Expect(a.body).To(ContainSubstring(`"verdict":"may-have-run"`))
	})
}

func TestADrainedEndpointGetsNoNewWorkAndFinishesItsOwn(t *testing.T) {
	started(t, 2, 3, func(w *world) {
		var long []answer
		var wg sync.WaitGroup
		wg.Go(func() { long = w.askMany(12, 1000, time.Second) })
		time.Sleep(1500 * time.Millisecond)
		_, err := w.apply(1, "ada", 0, drainOf("runner-1"))
		w.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		before := len(w.engines["runner-1"].Runs())
		w.g.Expect(before).To(BeNumerically(">", 0))
		for _, a := range w.askMany(30, 4, 3*time.Second) {
			w.g.Expect(a.right(4)).To(BeTrue(), a.body)
			w.g.Expect(a.header.Get(caller.HeaderEndpoint)).NotTo(Equal("runner-1"))
		}
		w.g.Expect(w.engines["runner-1"].Runs()).To(HaveLen(before))
		wg.Wait()
		for _, a := range long {
			w.g.Expect(a.right(1000)).To(BeTrue(), "cut by a drain: "+a.body)
		}
	})
}

func TestAVMThatThePlatformTakesAwayGetsNoNewWork(t *testing.T) {
	started(t, 2, 3, func(w *world) {
		vms := append([]objectstore.VM(nil), w.vms...)
		for i := range vms {
			vms[i].Leaving = vms[i].Name == "runner-2"
		}
		w.platform.SetVMs(vms)
		time.Sleep(3 * time.Second)
		for _, a := range w.askMany(20, 4, 2*time.Second) {
			w.g.Expect(a.right(4)).To(BeTrue(), a.body)
			w.g.Expect(a.header.Get(caller.HeaderEndpoint)).NotTo(Equal("runner-2"))
		}
	})
}

func TestAPlannedStopOfAnAgentCutsNothing(t *testing.T) {
	started(t, 2, 3, func(w *world) {
		var answers []answer
		var wg sync.WaitGroup
		wg.Go(func() { answers = w.askMany(60, 300, 6*time.Second) })
		time.Sleep(2 * time.Second)
		w.g.Expect(w.agents["runner-0"].Stop(context.Background())).To(Succeed())
		delete(w.agents, "runner-0")
		wg.Wait()
		for _, a := range answers {
			w.g.Expect(a.right(300)).To(BeTrue(), a.body)
			w.g.Expect(w.runs(a)).To(Equal(1))
		}
	})
}

func TestAPlannedStopOfAnEntryCutsNothingAndTellsWhereToGo(t *testing.T) {
	started(t, 2, 2, func(w *world) {
		var held answer
		var wg sync.WaitGroup
		wg.Go(func() { held = w.ask(0, "long", 1000) })
		time.Sleep(time.Second)
		wg.Go(func() { _ = w.entries["entry-0"].Stop(context.Background()) })
		time.Sleep(time.Second)
		late := w.ask(0, "late", 4)
		w.g.Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(late.header.Get(verdict.Header)).To(Equal(verdict.NotRun.String()))
		w.g.Expect(late.header.Get(caller.HeaderAddresses)).To(Equal("10.1.0.2:7000"))
		w.g.Expect(w.runs(late)).To(BeZero())
		wg.Wait()
		delete(w.entries, "entry-0")
		w.g.Expect(held.right(1000)).To(BeTrue(), held.body)
	})
}

func TestAKilledEndpointIsToldHonestly(t *testing.T) {
	started(t, 2, 3, func(w *world) {
		var answers []answer
		var wg sync.WaitGroup
		wg.Go(func() { answers = w.askMany(60, 200, 6*time.Second) })
		time.Sleep(3 * time.Second)
		killed := time.Now()
		w.killAgent("runner-1")
		wg.Wait()
		failed, underWay := 0, 0
		for _, a := range answers {
			if a.started.Before(killed) && a.started.Add(a.took).After(killed.Add(-time.Millisecond)) {
				underWay++
			}
			runs := w.runs(a)
			w.g.Expect(runs).To(BeNumerically("<=", 1), "ran twice")
			if a.right(200) {
				continue
			}
			failed++
			w.g.Expect(a.header.Get(verdict.Header)).To(Equal(verdict.MayHaveRun.String()), a.body)
		}
		w.g.Expect(failed).To(BeNumerically("<=", underWay), "more than were under way")
	})
}

func TestAFrozenEndpointCostsABoundedFewRequests(t *testing.T) {
	started(t, 2, 4, func(w *world) {
		w.agents["runner-1"].host.freeze()
		answers := w.askMany(200, 4, 20*time.Second)
		wrong := 0
		for _, a := range answers {
			if !a.right(4) {
				wrong++
				w.g.Expect(a.header.Get(verdict.Header)).To(Equal(verdict.MayHaveRun.String()), a.body)
			}
		}
		w.g.Expect(wrong).To(BeNumerically("<=", 16))
		for _, a := range answers[100:] {
			w.g.Expect(a.right(4)).To(BeTrue(), "long after: "+a.body)
		}
		w.agents["runner-1"].host.thaw()
		time.Sleep(10 * time.Second)
		back := 0
		for _, a := range w.askMany(60, 4, 6*time.Second) {
			w.g.Expect(a.right(4)).To(BeTrue(), a.body)
			if a.header.Get(caller.HeaderEndpoint) == "runner-1" {
				back++
			}
		}
		w.g.Expect(back).To(BeNumerically(">", 0), "it is used again")
	})
}

func TestAMarkedRequestRunsOnceHoweverOftenItIsSubmitted(t *testing.T) {
	started(t, 2, 3, func(w *world) {
		var list []answer
		var wg sync.WaitGroup
		first := w.send(0, "/v1/tickets", "")
		text := between(first.body, `"ticket":"`, `"`)
		list = make([]answer, 6)
		for i := range list {
			wg.Go(func() { list[i] = w.ask(i%2, "verdict on claim 9", 40, ticket.Header, text) })
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		again := w.ask(1, "verdict on claim 9", 40, ticket.Header, text)
		for _, a := range append(list, again) {
			w.g.Expect(a.right(40)).To(BeTrue(), a.body)
			w.g.Expect(a.body).To(Equal(list[0].body))
		}
		w.g.Expect(w.runs(again)).To(Equal(1))
	})
}

func TestAMarkedRequestWhoseEntryIsGoneMayHaveRun(t *testing.T) {
	started(t, 2, 2, func(w *world) {
		a := w.ask(0, "alert 5", 4, caller.HeaderRepeat, caller.RepeatNever)
		w.g.Expect(a.right(4)).To(BeTrue())
		text := a.header.Get(ticket.Header)
		cfg := w.entries["entry-0"].cfg
		w.killEntry("entry-0")
		gone := w.ask(1, "alert 5", 4, ticket.Header, text)
		w.g.Expect(gone.header.Get(verdict.Header)).To(Equal(verdict.MayHaveRun.String()), gone.body)
		w.startEntry(cfg)
		time.Sleep(5 * time.Second)
		for i := range 2 {
			reborn := w.ask(i, "alert 5", 4, ticket.Header, text)
			w.g.Expect(reborn.header.Get(verdict.Header)).To(Equal(verdict.MayHaveRun.String()), reborn.body)
		}
		w.g.Expect(w.runs(a)).To(Equal(1))
	})
}

func TestAMarkedRequestWithTheCallersOwnKeyRunsOnce(t *testing.T) {
	started(t, 2, 3, func(w *world) {
		w.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		mark := []string{caller.HeaderRepeat, caller.RepeatNever, caller.HeaderKey, "alert-77"}
		list := make([]answer, 6)
		var wg sync.WaitGroup
		for i := range list {
			wg.Go(func() { list[i] = w.ask(i%2, "alert 77", 20, mark...) })
		}
		wg.Wait()
		for _, a := range list {
			w.g.Expect(a.right(20)).To(BeTrue(), a.body)
		}
		w.g.Expect(w.runs(list[0])).To(Equal(1))
		w.platform.SetFaults(standin.PlatformFaults{Down: true})
		a := w.ask(0, "alert 77", 20, mark...)
		w.g.Expect(a.header.Get(verdict.Header)).To(Equal(verdict.MayHaveRun.String()), a.body)
		w.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		w.g.Expect(w.runs(list[0])).To(Equal(1))
	})
}

func TestALostAnswerToAMarkedRequestCanBeHadAgain(t *testing.T) {
	started(t, 2, 2, func(w *world) {
		first := w.send(0, "/v1/tickets", "")
		text := between(first.body, `"ticket":"`, `"`)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.1.0.1:7000/v1/chat/completions",
			strings.NewReader(`{"model":"claims","max_tokens":100,"messages":["alert 7"]}`))
		r.Header.Set("Authorization", "Bearer "+callerKey)
		r.Header.Set(ticket.Header, text)
		_, err := w.client.Do(r)
		w.g.Expect(err).To(HaveOccurred(), "the caller gave up")
		a := w.ask(1, "alert 7", 100, ticket.Header, text)
		w.g.Expect(a.right(100)).To(BeTrue(), a.body)
		w.g.Expect(w.runs(a)).To(Equal(1))
	})
}

func TestWhatIsRefusedIsToldAtOnceWithATimeToComeBack(t *testing.T) {
	started(t, 2, 1, func(w *world) {
		w.killAgent("runner-0")
		time.Sleep(10 * time.Second)
		a := w.ask(0, "nobody there", 4)
		w.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(a.header.Get(verdict.Header)).To(Equal(verdict.NotRun.String()))
		w.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		w.g.Expect(a.took).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestAnOverloadIsRefusedEarly(t *testing.T) {
	started(t, 1, 1, func(w *world) {
		answers := w.askMany(200, 100, time.Second)
		refused := 0
		for _, a := range answers {
			if a.right(100) {
				continue
			}
			refused++
			w.g.Expect(a.header.Get(verdict.Header)).To(Equal(verdict.NotRun.String()), a.body)
			w.g.Expect(a.took).To(BeNumerically("<", 50*time.Millisecond))
			w.g.Expect(w.runs(a)).To(BeZero())
		}
		w.g.Expect(refused).To(BeNumerically(">", 0))
	})
}

func TestARolloutFinishesWhileThePlatformIsDown(t *testing.T) {
	play(t, 2, 4, func(w *world) {
		time.Sleep(2 * time.Second)
		_, err := w.apply(0, "ada", 0, basics(1)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		w.platform.SetFaults(standin.PlatformFaults{Down: true})
		w.live(0, "v1", 4, time.Minute)
		w.live(1, "v1", 4, time.Minute)
		w.g.Expect(w.ask(1, "x", 4).right(4)).To(BeTrue())
	})
}

func TestAnEntryThatStartsEmptyInAnOutageLearnsFromOthers(t *testing.T) {
	started(t, 2, 2, func(w *world) {
		w.platform.SetFaults(standin.PlatformFaults{Down: true})
		cfg := w.entries["entry-0"].cfg
		w.killEntry("entry-0")
		time.Sleep(time.Second)
		w.startEntry(cfg)
		time.Sleep(6 * time.Second)
		a := w.ask(0, "x", 4)
		w.g.Expect(a.right(4)).To(BeTrue(), a.body)
	})
}

func TestAnAcceptedConfigurationIsInForceEverywhereWithinSeconds(t *testing.T) {
	started(t, 5, 4, func(w *world) {
		o := w.find(object.KindService, "claims")
		o.Labels = map[string]string{"seen": "yes"}
		r, err := w.apply(3, "ada", 0, put(o, o.Version))
		w.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		for i := range 5 {
			s, err := w.operator(i, "ada").Status(context.Background())
			w.g.Expect(err).NotTo(HaveOccurred())
			w.g.Expect(s.Revision).To(Equal(r.Revision))
			w.g.Expect(s.InForce).To(Equal(operator.InForce{On: 5, Of: 5, Oldest: r.Revision}))
		}
	})
}

func TestAWriteWhoseAnswerIsLostIsAcceptedOnce(t *testing.T) {
	started(t, 2, 1, func(w *world) {
		before := w.find(object.KindService, "claims")
		w.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		o := before
		o.Labels = map[string]string{"a": "b"}
		r, err := w.apply(0, "ada", 0, put(o, o.Version))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(r.Revision).To(Equal(before.Version + 1))
	})
}

func TestAnOutageIsToldAsNotAccepted(t *testing.T) {
	started(t, 2, 1, func(w *world) {
		w.platform.SetFaults(standin.PlatformFaults{Down: true})
		o := w.find(object.KindService, "claims")
		_, err := w.apply(0, "ada", 0, put(o, o.Version))
		w.g.Expect(err).To(MatchError(ContainSubstring(operator.CodeUnavailable)))
		w.platform.SetFaults(standin.PlatformFaults{})
		time.Sleep(10 * time.Second)
		w.g.Expect(w.find(object.KindService, "claims").Version).To(Equal(o.Version))
	})
}

func TestTheSecondOfTwoOperatorsIsToldWhatChangedAndByWhom(t *testing.T) {
	started(t, 2, 1, func(w *world) {
		o := w.find(object.KindRollout, "reader")
		a, b := o, o
		a.Labels = map[string]string{"by": "ada"}
		b.Labels = map[string]string{"by": "bela"}
		_, err := w.apply(0, "ada", 0, put(a, o.Version))
		w.g.Expect(err).NotTo(HaveOccurred())
		_, err = w.apply(1, "bela", 0, put(b, o.Version))
		w.g.Expect(err).To(MatchError(ContainSubstring(`Rollout/reader was changed by "ada" at revision 2`)))
		account := w.find(object.KindAccount, "claimsdesk")
		service := w.find(object.KindService, "claims")
		service.Spec.(*object.ServiceSpec).Accounts = "team=claims"
		account.Labels = map[string]string{"team": "markets"}
		_, err = w.apply(0, "ada", 2, put(service, service.Version))
		w.g.Expect(err).NotTo(HaveOccurred())
		relabel := account
		relabel.Labels = map[string]string{"team": "claims"}
		_, err = w.apply(1, "bela", 2, put(relabel, account.Version))
		w.g.Expect(err).To(MatchError(ContainSubstring("service claims selects account claimsdesk by its labels")))
	})
}

func TestABatchBeginsAsSoonAsTheOneBeforeIsLive(t *testing.T) {
	play(t, 1, 8, func(w *world) {
		w.until(2.2)
		_, err := w.apply(0, "ada", 0, basics(1)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		w.live(0, "v1", 8, time.Minute)
		w.g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second), "eight batches of one VM")
	})
}

func TestANewVersionGoesOutInBatchesAndCanBeUndone(t *testing.T) {
	started(t, 2, 4, func(w *world) {
		o := w.find(object.KindRollout, "reader")
		spec := o.Spec.(*object.RolloutSpec)
		spec.Weights, spec.Root, spec.Strategy.Batch = "v2", "", 2
		var answers []answer
		var wg sync.WaitGroup
		wg.Go(func() { answers = w.askMany(100, 20, 10*time.Second) })
		_, err := w.apply(0, "ada", 0, put(o, o.Version))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.live(0, "v2", 4, time.Minute)
		wg.Wait()
		for _, a := range answers {
			w.g.Expect(a.right(20)).To(BeTrue(), a.body)
		}
		read := w.origin.BytesRead()
		o = w.find(object.KindRollout, "reader")
		spec = o.Spec.(*object.RolloutSpec)
		spec.Weights, spec.Root = spec.Previous.Weights, spec.Previous.Root
		_, err = w.apply(0, "ada", 0, put(o, o.Version))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.live(0, "v1", 4, time.Minute)
		w.g.Expect(w.origin.BytesRead()).To(Equal(read), "fetched again")
	})
}

func TestAnAgentThatRestartsWithNothingServesAgain(t *testing.T) {
	started(t, 2, 2, func(w *world) {
		cfg := w.agents["runner-0"].cfg
		w.killAgent("runner-0")
		time.Sleep(500 * time.Millisecond)
		w.startAgent(cfg)
		time.Sleep(10 * time.Second)
		w.live(1, "v1", 2, 30*time.Second)
		last := int64(0)
		for _, o := range w.engines["runner-0"].Orders() {
			w.g.Expect(o.Epoch).To(BeNumerically(">=", last))
			last = o.Epoch
		}
	})
}

func between(s, before, after string) string {
	_, s, _ = strings.Cut(s, before)
	s, _, _ = strings.Cut(s, after)
	return s
}
