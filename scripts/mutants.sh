#!/usr/bin/env bash
# Takes one mechanism after the other out of a scratch copy, and checks that the
# test that holds its promise fails. docs/PROOF.md names the pairs.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# mutant name file perl-expression package test
mutant() {
  rm -rf "$work/tree" && mkdir "$work/tree"
  git ls-files -z | xargs -0 cp --parents -t "$work/tree"
  perl -0pi -e "$3" "$work/tree/$2"
  if cmp -s "$2" "$work/tree/$2"; then
    echo "NO CHANGE  $1"
    failed=$((failed + 1))
    return
  fi
  if ! (cd "$work/tree" && go build "./$(dirname "$2")" >"$work/out" 2>&1); then
    echo "NO BUILD   $1"
    failed=$((failed + 1))
    return
  fi
  if (cd "$work/tree" && timeout 60 go test -timeout 40s "$4" -run "$5" >"$work/out" 2>&1); then
    echo "NOT CAUGHT $1"
    failed=$((failed + 1))
  else
    echo "caught     $1 ($5)"
    passed=$((passed + 1))
  fi
}

mutant "chunks are not verified" weights/set.go 's/if got := s.m.Hash.Sum\(b\); got != s.m.Chunks\[i\]/if got := s.m.Hash.Sum(b); false \&\& got != s.m.Chunks[i]/' ./weights 'TestSetNeverMixesVersions'
mutant "the origin's version is not held" standalone/agent/loader/fetch.go 's/o.etag = got/_ = got/' ./standalone/agent/loader 'TestLoaderNeverLoadsAVersion'
mutant "the fence does not check" standalone/agent/loader/fence.go 's/epoch < f.epoch/false/' ./standalone/agent/loader 'TestFenceKeeps'
mutant "orders before the fence is learned" standalone/agent/loader/fence.go 's/if !f.learned/if false/' ./standalone/agent/loader 'TestFenceGivesNothing'
mutant "an older directive is taken" standalone/agent/loader/loader.go 's/if d.Revision < l.directive.Revision/if false/' ./standalone/agent/loader 'TestLoaderIgnores'
mutant "cut answers pass for whole" standalone/forward/forward.go 's/errors.Is\(err, io.EOF\) && b.mark.Matches\(b.resp.Trailer\)/(true || errors.Is(err, io.EOF) \&\& b.mark.Matches(b.resp.Trailer))/' ./standalone/session 'TestAStreamIsWhole'
mutant "what may have run is tried again" standalone/dispatch/dispatch.go 's/return e.Verdict\(\) == verdict.NotRun \|\| .*/return true/' ./standalone/dispatch 'TestSuite'
mutant "retries without a budget" standalone/dispatch/budget.go 's/if b.balance < 1/if false/' ./standalone/dispatch 'TestSuite'
mutant "a written request counts as not run" verdict/classify.go 's/p == Dialing \|\| p == Connected/p != Answering/' ./verdict 'TestSuite'
mutant "tickets are not remembered" standalone/ticket/ledger.go 's/l.used.Set\(uint\(t.Seq\)\)/_ = t/; s/l.runs\[t.Seq\] = r\n/_ = r\n/' ./standalone/session 'TestAMarkedRequestRunsOnce|TestALostAnswer'
mutant "keys are not claimed" standalone/caller/serve.go 's/if key == ""/if true/' ./standalone/session 'TestAMarkedRequestWithTheCallersOwnKey'
mutant "a new life takes old tickets" standalone/ticket/ledger.go 's/&& t.Life == l.mint.life//; s/!l.mint.genuine\(t\) \|\| //' ./standalone/session 'TestAMarkedRequestWhoseEntryIsGone'
mutant "a marked request ends with its caller" standalone/caller/caller.go 's/ctx = context.WithoutCancel\(ctx\)/_ = ctx/' ./standalone/session 'TestALostAnswer'
mutant "a drained endpoint is still chosen" standalone/router/router.go 's/return !drained/return true || drained/' ./standalone/router 'TestSuite'
mutant "a planned stop does not wait" standalone/agent/agent.go 's/a.runner.running.Wait\(ctx\)/error(nil)/; s/a.server.Shutdown\(ctx\)/a.server.Close()/' ./standalone/session 'TestAPlannedStopOfAnAgent'
mutant "a stopping entry does not wait" standalone/entry/entry.go 's/e.running.Wait\(ctx\)/error(nil)/' ./standalone/session 'TestAPlannedStopOfAnEntry'
mutant "nobody is ejected" standalone/router/eject.go 's/e.faults >= faultsToEject/false/' ./standalone/router 'TestSuite'
mutant "no panic threshold" standalone/router/eject.go 's/len\(out\)\*2 < len\(all\)/false/' ./standalone/router 'TestSuite'
mutant "no panic threshold among endpoints" standalone/fleet/table.go 's/len\(silent\)\*2 > heard/false/' ./standalone/fleet 'TestSuite'
mutant "no reading back" standalone/commit/commit.go 's/if current.HasMark\(b.Mark\)/if false/' ./standalone/commit 'TestEachBatch'
mutant "a snapshot may go back" standalone/snapshot/holder.go 's/s.Revision <= h.current.Load\(\).Revision/false/' ./standalone/snapshot 'TestSuite'
mutant "interactions are not looked for" standalone/snapshot/change.go 's/if err := s.checkInteractions\(c, b\); err != nil/if err := s.checkInteractions(c, b); false \&\& err != nil/' ./standalone/session 'TestTheSecondOfTwo'
mutant "entries do not exchange" standalone/entry/spread.go 's/reply.Snapshot = s.encodedSnapshot\(\)/_ = reply/; s/second.Snapshot = s.encodedSnapshot\(\)/_ = second/' ./standalone/session 'TestAnEntryThatStartsEmpty'
mutant "no slots for urgent requests" standalone/admission/gate.go 's/g.running < g.cfg.Slots-g.cfg.UrgentSlots/g.running < g.cfg.Slots/' ./standalone/admission 'TestUrgent'
mutant "no fair shares" standalone/admission/fairqueue.go 's/h\[i\].finish != h\[j\].finish/false/' ./standalone/admission 'TestAccountsShare'
mutant "no takeover" swarm/schedule.go 's/maxRanks = 4/maxRanks = 1/; s/unrankedSpread = 16/unrankedSpread = 1600000/' ./swarm 'TestKilledReaders'
mutant "corrupt members are asked again" swarm/neighbours.go 's/maxCorrupt = 2/maxCorrupt = 2000/' ./swarm 'TestCorruptMember'
mutant "every region reads for itself" swarm/schedule.go 's/len\(home\) == 0 \|\| home\[0\].Region == d.self.Region/true/' ./swarm 'TestLongLink'
mutant "nothing waits for a first reader" swarm/schedule.go 's/return mayRead && s.rank\[c\] == 0 &&/return false \&\&/' ./swarm 'TestHealthySwarm|TestLongLink|TestRegion'
mutant "engines' losses go unseen" standalone/agent/loader/load.go 's/if t.live && !l.engineHas\(s, t.assignment\)/if false \&\& !l.engineHas(s, t.assignment)/' ./standalone/agent/loader 'TestLoaderLoadsAgain'
mutant "what may have run is sent again" gateway/policy/retry.go 's/case f.Verdict != verdict.NotRun \&\& !f.Repeatable:\n\t\treturn NotRepeatable/case false:\n\t\treturn NotRepeatable/' ./gateway/proxy 'TestWhatMayHaveRunIsNotRepeated'
mutant "no retry budget" gateway/proxy/budget.go 's/if !b.allows\(u, purpose\)/if false/' ./gateway/proxy 'TestRepeatedRequestsStayWithinTheBudget'
mutant "streams begin on old weights" gateway/policy/stall.go 's/case !s.Begun \&\& s.Outdated:/case false:/' ./gateway/proxy 'TestAStreamThatWaitsAtOldWeights'
mutant "an endpoint is left for a prospect" gateway/proxy/hedge.go 's/abandon = abandon \|\| p.hedgeAnswered\(c\)/abandon = abandon || c.hedge != nil/' ./gateway/proxy 'TestAStreamIsNotLeft'
mutant "what came in a standstill is not read" gateway/upstream/watch.go 's/time.Since\(deadline\) > suspensionThreshold/deadline.IsZero()/' ./gateway/upstream 'TestWhatCame'
mutant "an error answer is given away" gateway/proxy/attempt.go 's/last == nil \|\| p.fallBack\(w, c\)/last == nil/' ./gateway/proxy 'TestAnErrorAnswerIsNot'
mutant "hedges use up what cut answers need" gateway/proxy/hedge.go 's/takeRetryBudget\(c, Hedge, now\)/takeRetryBudget(c, c.purpose(), now)/' ./gateway/proxy 'TestHedgesLeaveBudget'
mutant "a queued stream waits until it is late" gateway/policy/stall.go 's/case s.queued\(\):/case s.queued() \&\& s.Outdated:/' ./gateway/proxy 'TestAStreamThatIsQueued'
mutant "a queued stream is not sent to the vacated slot" gateway/proxy/hedge.go 's/= true, c.grant.TakeVacated\(now\)/= true, ""/' ./gateway/proxy 'TestAStreamThatIsQueued'
mutant "a gateway without news goes by its own requests" gateway/admission/update.go 's/news.Last = /_ = /' ./gateway/admission 'TestAGatewayThatHearsNobody'
mutant "an answer does not return" gateway/policy/retry.go 's/return attempts < reuseFactor\*maxAttempts \&\&/return false \&\&/' ./gateway/proxy 'TestAStreamGoesOnWhereItWasBefore'
mutant "a leaving gateway takes everything" gateway/policy/leaving.go 's/return !deadline.After\(end\)/return true/' ./gateway/proxy 'TestALeavingGateway'
mutant "what a gateway ends gets no answer" gateway/proxy/proxy.go 's/cancelCause\(context.DeadlineExceeded\)/_ = cancelCause/' ./gateway/proxy 'TestWhatHasNoAnswer'
mutant "a request that is being read counts as rest" serve/connections.go 's/c.reading = true/c.reading = false/' ./serve 'TestAShutdownWaitsForARequest'
mutant "a late final answer is not written" gateway/proxy/fail.go 's/_ = http.NewResponseController\(w\).SetWriteDeadline.*\n//' ./gateway/proxy 'TestAFinalAnswer'
mutant "a withdrawn request is delivered" gateway/upstream/conn.go 's/_ = tcp.SetLinger\(0\)/_ = tcp/' ./gateway/upstream 'TestARequestThatWasWithdrawn'
mutant "no endpoint is ejected" gateway/balance/health.go 's/h.ejections\+\+/_ = h/' ./gateway/balance 'TestSuite'
mutant "an answer to another request is passed on" gateway/policy/answer.go 's/case a.Foreign:/case false:/' ./gateway/proxy 'TestWhatMayHaveRunIsNotRepeatedNorPromised'
mutant "a refusal counts before its end" gateway/policy/refusal.go 's/case a.Ending != EndingWhole:/case false:/' ./gateway/proxy 'TestAnUnprovenRefusalIsNoPromise'
mutant "a refusal counts without the ID" gateway/policy/refusal.go 's/case !concernsRequest\(a\):/case false:/' ./gateway/policy 'TestSuite|TestPolicy'
mutant "any status counts" responsehead/responsehead.go 's/if status < minStatus \|\| status > maxStatus \|\| status == http.StatusSwitchingProtocols/if false/' ./gateway/proxy 'TestAnAnswerWithAnInvalidStatus'
mutant "any name counts" responsehead/responsehead.go 's/if len\(values\) > 0 &&/if len(values) < 0 \&\&/' ./gateway/proxy 'TestAnAnswerWithAnInvalidName'
mutant "an old encoding counts" responsehead/responsehead.go 's/!resp.ProtoAtLeast\(1, 1\) &&/false \&\&/' ./gateway/proxy 'TestAnEncodingOfAnOldProtocol'
mutant "any trailer ends a body" gateway/upstream/upstream.go 's/CheckNames\(x.response.Trailer\)/CheckNames(nil)/' ./gateway/proxy 'TestATrailerWithAnInvalidName'
mutant "a part of a body counts as the whole" limitread/limitread.go 's/int64\(len\(b\)\) > limit/false/' ./platform 'TestABodyWithoutEnd'
mutant "an entry holds any number of answers" standalone/caller/held.go 's/if b.answers.used/if false \&\& b.answers.used/' ./standalone/session 'TestAnEntryHolds'
mutant "a page is decoded whole" platform/page.go 's/return jsonsplit.Array\(elements\)/return nil, jsonsplit.ErrKind/' ./platform 'TestAnObjectThatCannotBeRead'
mutant "a body outlives its gateway" gateway/proxy/body.go 's/!limit.IsZero\(\) &&/false \&\&/' ./gateway 'TestAPlannedStop'
mutant "a head of two answers counts" gateway/policy/head.go 's/if responsehead.ContinuesWithResponse\(raw\)/if false \&\& responsehead.ContinuesWithResponse(raw)/' ./gateway/proxy 'TestNoBreakOfAnAnswerMakesAPromise'
mutant "a dropped hedge counts as not run" gateway/proxy/hedge.go 's/c.recordSend\(\)/_ = c/' ./gateway/proxy 'TestARequestWhoseHedgeIsDropped'
mutant "advice counts without proof" gateway/policy/answer.go 's/case a.Foreign \|\| !a.Identified \|\|/case a.Foreign ||/' ./gateway/policy 'TestSuite'
mutant "heads have no limit" gateway/upstream/conn.go 's/if c.headLeft <= 0/if false/; s/min\(len\(p\), c.headLeft\)/len(p)/' ./gateway/upstream 'TestAnEndlessHeadIsReadUpToALimit'
mutant "a killed gateway ends an answer" serve/exit.go 's/linger = lingerReset/linger = lingerDefault/' ./serve 'TestAKilledServer'
mutant "a newer configuration is replaced by an older one" gateway/proxy/proxy.go 's/return old == nil \|\| \(positionOf.*/return true/' ./gateway/proxy 'TestAnOlderConfigurationIsNotTaken'
mutant "lapsed endpoints are not kept" roster/retention.go 's/if !now.Before\(end\)/if true/' ./roster 'Test'
mutant "a lost watch is waited for" mirror/mirror.go 's/m.knownRevision.Store\(revision\)\n\tif m.cancel != nil/m.knownRevision.Store(revision)\n\tif false/' ./mirror 'Test'
mutant "corrupt chunks at the endpoint are loaded" sidecar/stage/placing.go 's/return set.Manifest\(\).Hash.Sum\(data\) == set.Manifest\(\).Chunks\[i\], nil/return true, nil/' ./sidecar/stage 'Test'
mutant "old weights stay at their limit" sidecar/stage/limit.go 's/if held == 0 \|\| held >= required/if true/' ./sidecar/stage 'TestNothingBegins'
mutant "an endpoint's turn counts from the newest version" sidecar/stage/leasing.go 's/naming, replaced := s.history.Replaced\(model, held\)/naming, replaced := s.history.Newest()[0], true/' ./sidecar/stage 'TestANewerVersionDoesNotPutOff'
mutant "two VMs read a manifest, whatever becomes of them" sidecar/stage/manifest.go 's/return manifestReaders \* .*/return manifestReaders/' ./sidecar/stage 'TestAManifestIsRead'
mutant "a reader that lags is waited for" swarm/stragglers.go 's/return ok && time/return false \&\& ok \&\& time/' ./swarm 'TestANarrowReader'
mutant "a queue counts as a narrow link" swarm/stragglers.go 's/max\(slowFactor\*expected, minTimeout\)/max(slowFactor*expected, minTimeout\/2)/' ./swarm 'TestAQueueAtAHolder'
mutant "a gateway prefers one endpoint" gateway/affinity/affinity.go 's/minPreferred = 3/minPreferred = 1/' ./gateway/affinity 'TestEndpointsAreDealtOutEvenly'
mutant "a token of a cold endpoint lives from its arrival" gateway/balance/token.go 's/l.tokenUntil = r.RequestedAt.Add\(r.OpensIn \+ coldTokenTTL\)/l.tokenUntil = now.Add(r.OpensIn + coldTokenTTL)/' ./gateway/balance 'TestSuite'
mutant "a token of a cold endpoint lives as long as another" gateway/balance/token.go 's/coldTokenTTL( *)= 150/coldTokenTTL$1= 1000/' ./gateway/balance 'TestSuite'
mutant "the rate of a cold endpoint leaves no room for tokens" gateway/balance/cold.go 's/\(1\+coldTokenTTL.Seconds\(\)\)/1/' ./gateway/balance 'TestSuite'
mutant "nobody asks ahead for a token" gateway/balance/choice.go 's/cold.cost < c.usable.cost/false/' ./gateway/balance 'TestSuite'
mutant "nothing is lent" gateway/affinity/lent.go 's/for slot := position; slot < n;/for slot := position; slot < 0;/' ./gateway/balance 'TestZonesAreServedAlike'
mutant "a zone keeps what others could serve" gateway/zoneflow/zoneflow.go 's/max\(demand\/room, comfortableLoad\)/max(demand\/room, 2)/' ./gateway/zoneflow 'TestFlows'
mutant "flows follow each change" gateway/zoneflow/zoneflow.go 's/minShare = 0.05/minShare = 0/' ./gateway/zoneflow 'TestSettle'
mutant "the same endpoint is dealt out again" gateway/affinity/lent.go 's/\(i \+ i\/lcm\(n, gateways\)\)/(i + 0*lcm(n, gateways))/' ./gateway/affinity 'TestAGatewayIsLentDifferentEndpoints'
mutant "all endpoints that others prefer are compared" gateway/balance/sample.go 's/const sampleSize = 2/const sampleSize = 200/' ./gateway/balance 'TestTheFleetPlaces'
mutant "all VMs ask those who read a manifest" sidecar/stage/manifest.go 's/first := .*/first := 0/' ./sidecar/stage 'TestAManifestReaches'
mutant "a first inventory waits for the next look" inventory/server.go 's/if inv == nil \{\n\t\t\tpause/if false {\n\t\t\tpause/' ./inventory 'TestAFirstInventory'
mutant "a long list is sent as it is" gateway/replica/service.go 's/if !q.Bundles \|\|/if true ||/' ./gateway/replica 'TestTheListOfALargeFleet'
mutant "each download measures its link anew" swarm/download.go 's/d.link = cfg.Link\n/d.link = nil\n/' ./swarm 'TestADownloadKnows'
mutant "chunks over a narrow link are given up" swarm/fetch.go 's/if d.link.Congested\(\) \{\n\t\tlimit = max/if false {\n\t\tlimit = max/' ./swarm 'TestAVMOnANarrowLink'
mutant "a found version has its whole limit once more" gateway/namings.go 's/g.versions.Require\(n.Model, n.Version\)/_ = n/' ./gateway 'TestAFoundVersion'
mutant "nobody asks when a version was named" gateway/namings.go 's/g.fetchNamings\(ctx, answered\)/_ = answered/' ./gateway 'TestAGatewayAsksOthers'

mutant "an endpoint's next life inherits what was believed" gateway/balance/shard.go 's/case r.Incarnation\(\).Same\(e.record.Incarnation\(\)\):/case true:/' ./gateway/balance 'TestSuite'
mutant "a late record of an earlier life is used" gateway/endpoints/endpoints.go 's/l.keepLaterIncarnations\(list, previous, now\)/_ = now/' ./gateway/endpoints 'TestALateRecord'
mutant "connections of an earlier life are kept" gateway/upstream/upstream.go 's/if !p.setOwner\(owner\)/if !p.setOwner(owner) \&\& false/' ./gateway/upstream 'TestConnectionsOf'
mutant "a load is awaited after a restart" sidecar/stage/load.go 's/if report.Restarted\(ordered\)/if false/' ./sidecar/stage 'TestAnEndpointThatStartsAgain'
mutant "records of other writers are used" platform/endpoint.go 's/err = f.check\(\)/err = nil/' ./platform 'TestSuite'
mutant "one record fails the list" platform/source.go 's/return mirror.Object\{\}, false/return mirror.Object{}, true/' ./platform 'TestAnObjectThatCannotBeRead'
mutant "relays tell on what they were told" member/relay.go 's/r.zone != t.self.Zone && m.Entry.Zone == r.zone/true/' ./member 'TestAZoneThatIsCutOff|TestADeadGateway'
mutant "a deaf relay is believed" member/sums.go 's/r.loads.covers <= own.covers/false/; s/r.loads.covers != s.loads.covers/false/' ./member 'TestARelayThatHearsNobody'
mutant "a new relay counts at once" member/relay.go 's/fresh && now.Sub\(r.firstHeardAt\) >= settleTime/fresh/' ./member 'TestADeadGateway'
mutant "who is silent is not tried" member/plan.go 's/t.probeTargets\(own.Sequence\)/nil/' ./member 'TestWhoStartsWithoutTheStore'
mutant "other regions do not wait for the first copy" swarm/schedule.go 's/s.originAt\[c\] = s.due\[c\].Add\(oneCopy\)/_ = oneCopy/' ./swarm 'TestAfterAnOutage'
mutant "turns do not begin anew" swarm/schedule.go 's/s.start = at/_ = at/' ./swarm 'TestAfterAnOutage'
mutant "a replaced version is left half way" sidecar/stage/order.go 's/return p.olderUsable\(\) &&/return false \&\&/' ./sidecar/stage 'TestFirstCopiesOfAVersion'
mutant "nobody reads the store before it has listened" gateway/replica/rules.go 's/return selected && firstListed/return false/' ./gateway/replica 'TestTheFirstThatTheStoreLists'

mutant "an end is charged to nobody" gateway/proxy/crash.go 's/p.cfg.Poison.RecordCrash\(&c.suspects, a.lease.Record.Incarnation\(\), time.Now\(\)\)/_ = c/' ./gateway/proxy 'TestARequestThatEnds'
mutant "an answer that breaks off counts as an end" gateway/upstream/liveness.go 's/put\(cn\)\n\treturn Listening/put(cn)\n\treturn Terminated/' ./gateway/proxy 'TestAnAnswerThatBreaksOff'
mutant "an answer without a mark is not looked into" gateway/proxy/crash.go 's/if a.liveness == upstream.Terminated/if false/' ./gateway/proxy 'TestAnAnswerWithoutAMarkThatACrash'
mutant "survival does not count" gateway/proxy/stream.go 's/>= poison.SurvivalTime/>= 1000*poison.SurvivalTime/' ./gateway/proxy 'TestASharedPartOfLongStreams'
mutant "copies are tried side by side" gateway/proxy/withhold.go 's/case poison.Clear, poison.Suspected:/case poison.Clear, poison.Suspected, poison.OnTrial:/' ./gateway/proxy 'TestARequestThatEnds'
mutant "a whole answer clears nothing" gateway/poison/table.go 's/t.update\(q.cleared\(\), true, CauseAnswered, now\)/_ = k/' ./gateway/poison 'TestACompleteAnswer'
mutant "an answer from before the crash clears" gateway/poison/table.go 's/ && endedAt.After\(q.crashedAt\)//' ./gateway/poison 'TestACompleteAnswer'
mutant "each endpoint of a rack counts" gateway/poison/record.go 's/at.Sub\(began\) >= roundTime/at.Sub(began) >= 0/' ./gateway/poison 'TestEndpointsThatCrashTogether'
mutant "parts with the same crashes are never tried" gateway/poison/assess.go 's/ && t.contested\(q, parts, now\)/ \&\& false/' ./gateway/poison 'TestPartsWithTheSameCrashes'
mutant "a part under way is not withdrawn" gateway/proxy/withhold.go 's/c.lastEventAt.After\(sentAt\) \|\| c.passedThrough/c.headSent/' ./gateway/proxy 'TestRequestsUnderWay'
mutant "one end counts at each gateway" gateway/poison/record.go 's/out.Crashes = slices.Compact\(out.Crashes\)/_ = out/' ./gateway/poison 'TestJoinCountsACrash|TestJoinIsIdempotent'
mutant "what others tell ends what is told" gateway/poison/table.go 's/\tif own \{\n/\tq.gossipOwnUntil = time.Time{}\n\tif own {\n/' ./gateway/poison 'TestReceivedGossip'
mutant "who was cut off is not told" gateway/poison/gossip.go 's/\(!whole \|\| q.State\(\) != Quarantined\)/true/' ./member 'TestWhoWasCutOff'
mutant "relays keep news of ends" gateway/poison/gossip.go 's/ \|\| all && now.Before\(q.gossipUntil\)//' ./member 'TestEndsUnderARequest'
mutant "a gateway that starts knows nothing" gateway/quarantine.go 's/g.applyQuarantine\(objects\)/_ = objects/' ./gateway 'TestAGatewayThatStartsKnows'
mutant "what has begun does not wait for its lease" gateway/proxy/withhold.go 's/case !c.headSent \|\| !wait/case c.headSent || !wait/' ./gateway/proxy 'TestStreamsOfCopies'
mutant "attempts without a connection use up the route's" gateway/proxy/call.go 's/n - min\(p.unconnected, maxUncountedAttempts\)/n/' ./gateway/proxy 'TestARequestThatEnds'
mutant "a further signal ends a process" process/process.go 's/signal.Notify\(signals, syscall.SIGTERM, os.Interrupt\)/signal.Notify(signals, syscall.SIGTERM, os.Interrupt)\n\tgo func() { time.Sleep(200 * time.Millisecond); signal.Reset() }()/' ./process 'TestFurtherSignals'
mutant "time suspended does not count" versions/versions.go 's/namings\[i\].At.Add\(-d\)/namings[i].At.Add(0 * d)/' ./versions 'TestSuspensionCounts'
mutant "loads that end the endpoint go on" sidecar/stage/stager.go 's/ \|\| s.inLoadBackoff\(model, want.version\)//' ./sidecar/stage 'TestWeightsThatEnd'

mutant "three chunks are sent side by side" sidecar/stage/sending.go 's/Uploads = 1/Uploads = 3/' ./sidecar/stage 'TestAVersionIsWholeEverywhereSoon'
mutant "reads share the link of an origin that fails" swarm/schedule.go 's/originLinkTime\(d.cfg.OriginRate, m, s.position\[c\]\)/originLinkTime(d.cfg.OriginRate, m, s.position[c]) * 9 \/ 10/' ./sidecar/stage 'TestAnOriginThatFailsSends'
mutant "an outage that this VM did not notice" swarm/neighbours.go 's/\td.noteFirstCopy\(\)//' ./sidecar/stage 'TestAnOriginThatFailsSends'
mutant "turns count from each VM's own start" swarm/schedule.go 's/d.began.Add\(-d.cfg.HeadStart\)/d.began/' ./sidecar/stage 'TestAVersionIsWholeEverywhereThough'
mutant "a version is left before the manifest of the newer is there" sidecar/stage/fetchorder.go 's/if a == nil \|\| b == nil \{/if a == nil || b == nil {\n\t\tif a != nil {\n\t\t\ta.SetMode(swarm.ModePaused)\n\t\t}\n\t\treturn/' ./sidecar/stage 'TestAVersionIsNotLeft'
mutant "all who ask for a chunk wait" exchange/server.go 's/s.waiting = waiting/s.waiting = 100 + waiting/' ./exchange 'TestChunksAreSent'

mutant "a holder counts nothing" gateway/balance/limit.go 's/l.nextSendAt, l.tokenUntil = now.Add\(l.interval\(now\)\), time.Time\{\}/l.tokenUntil = time.Time{}/' ./gateway/proxy 'TestEndpointsGetMoreThan'
mutant "every gateway holds an endpoint" gateway/affinity/held.go 's/rendezvous.Choose\(id, near\) == self/rendezvous.Choose(id, near) != ""/' ./gateway/affinity 'TestOneGatewayHolds'
mutant "nobody is told of limits" gateway/balance/propagation.go 's/fresh := \(p.firsthand/fresh := false \&\& (p.firsthand/' ./member 'TestALimitIsKnownByAllSoon'
mutant "a late head ends a limit" gateway/balance/limit.go 's/l.declared && sentAt.After\(l.heardAt\)/l.declared/' ./gateway/balance 'TestSuite'
mutant "a leaving endpoint is used" gateway/balance/advisory.go 's/return e.record.Leaving \|\| e.advisory.leaving/return e.record.Leaving/' ./gateway/proxy 'TestRequestsReachEndpointsThatSaid'
mutant "a rest ends with the next answer" gateway/balance/advisory.go 's/if d == 0 \|\| !until.After/if !until.After/; s/s.backoffUntil\) \{\n\t\treturn false/s.backoffUntil) \&\& d > 0 {\n\t\treturn false/' ./gateway/balance 'TestSuite'
mutant "a rest is a failure" gateway/proxy/answer.go 's/if adv.RetryAfter > 0/if false/' ./gateway/proxy 'TestAnEndpointThatAskedForRestOften'
mutant "a holder lends nothing" gateway/balance/token.go 's/holderTurn \|\| opensIn > maxGrantDelay/true || holderTurn || opensIn > maxGrantDelay/' ./gateway/proxy 'TestAnEndpointWithALimitServes|TestALimitEndsWhose'
mutant "a holder always has its turn" gateway/balance/token.go 's/holderTurn := l.lastGranted \&\& /holderTurn := /' ./gateway/proxy 'TestTheHolder'
mutant "a slow endpoint has all its places" gateway/work/speed.go 's/if s.Engine == nil \|\| s.GapTarget <= 0 \|\| pace < SlowPace/if true/' ./gateway/balance 'TestSuite'
mutant "a slow endpoint costs nothing" gateway/balance/choice.go 's/cost \+= slowCost \* c.Lacking/cost += 0/' ./gateway/balance 'TestSuite'
mutant "a stream goes where it can't end" gateway/work/stream.go 's/case s.End\(w, w.Events, load\) > w.Left/case false/' ./gateway/proxy 'TestALongStreamGoes'
mutant "a stream without time is sent" gateway/work/stream.go 's/case w.MinEvents > 0 \&\&/case false \&\&/' ./gateway/proxy 'TestAStreamThatNoEndpoint'
mutant "the rest of a stream is refused for want of time" gateway/proxy/call.go 's/max\(w.Events-float64\(c.events\), 1\), 0/max(w.Events-float64(c.events), 1), w.Events/' ./gateway/proxy 'TestAStreamThatHasBegunIsResumed'
mutant "a silent sidecar is believed for ever" gateway/balance/pace.go 's/if now.After\(told.until\)/if told.pace == 0 \&\& now.After(told.until)/' ./gateway/balance 'TestSuite'
mutant "a pace is told once" sidecar/pace.go 's/if p.current > 1 \&\&/if false \&\&/' ./sidecar 'TestGatewaysAreTold'
mutant "ends that another request explains count" gateway/poison/expiry.go 's/if q.Explains\(&other.Record\)/if false/' ./gateway/poison 'TestSharedCrashes'
mutant "changes without room are not paced" leases/pace.go 's/< needed-n.out &&/< p.Endpoints \&\&/' ./sidecar/stage 'TestAFleetUnderLoad'
mutant "nobody waits for a newer version" leases/pace.go 's/return p.NewerIn > 0 && /return false \&\& /' ./leases 'TestDecide|TestNeeded'
mutant "a complete version is staged with its lease only" sidecar/stage/placing.go 's/if s.staged\[model\] == now \{/if true {/' ./sidecar/stage 'TestACompleteVersionSurvives'
mutant "endpoints that were replaced are used" roster/replaced.go 's/if since\[id\] </if false \&\& since[id] </' ./gateway/endpoints 'TestAnEndpointAtWhoseAddress'
mutant "a token for a moment later is not waited for" gateway/proxy/pick.go 's/opensIn = d$/opensIn = 0*d/m' ./gateway/proxy 'TestARequestWaitsForACold'
mutant "busy endpoints change first" leases/turns.go 's/if w.Running < n &&/if w.Running < 0 \&\&/' ./leases 'TestDecide'
mutant "a promised lease is waited for past the limit" sidecar/stage/switch.go 's/return end.Add\(-lastChangeLead\)/return end.Add(lastChangeLead)/' ./sidecar/stage 'TestAnEndpointChangesInTime'
mutant "late changes cut what runs" sidecar/stage/switch.go 's/return l.Granted && l.Spare/return false \&\& l.Spare/' ./sidecar/stage 'TestAChangeNearTheLimit'
mutant "any 421 is another endpoint's" gateway/policy/conclusion.go 's/if isFromOther\(a\) \{/if true {/' ./gateway/proxy 'TestEndpointsThatLoadAtOnceServeAgain'
mutant "an endpoint without weights is asked at once again" gateway/balance/health.go 's/h.unpreparedUntil = now.Add\(UnpreparedBackoff\(h.unprepared\)\)//' ./gateway/proxy 'TestAnAddressWhoseEndpointRefuses'
mutant "found weights are loaded at once" sidecar/stage/leasing.go 's/case naming.TimeUnknown:/case naming.TimeUnknown:\n\t\treturn ChangePeriod{}, false\n\tcase false:/' ./sidecar/stage 'TestEndpointsTakeTurns'
mutant "each gateway gives leases just after a start" leases/service.go 's/if !s.mayGrant\(q.Service\)/if false/' ./leases 'TestAGatewayThatDoesNotOwn'

echo "$passed passed, $failed failed"
[ $failed = 0 ]
