package proxy_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
)

// restrict puts a configuration in force in which requests may be processed in the given regions
// only, according to their route and their account. Endpoint e0 is in region east, the others are
// in region west.
func (w *harness) restrict(route, account []string) {
	list := &roster.List{Revision: 2, Endpoints: map[string]*roster.Endpoint{}}
	for id := range w.endpoints {
		list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: id, Zone: "a", Region: "west", Slots: 2,
			Weights: []roster.Weights{{Model: "m", Version: 1}}}
	}
	list.Endpoints["e0"].Region = "east"
	w.balancer.Update(list)
	c := configuration()
	c.Revision = 2
	for _, prefix := range []string{"/safe/", "/unsafe/", "/stream/", "/once/"} {
		c.Match("h", prefix).AllowedRegions = route
	}
	*c.Account("secret") = routes.Account{Name: "acme", AllowedRegions: account}
	w.proxy.SetConfig(c)
}

// Guards against a request that leaves the regions that its route or its account allows: at its
// first attempt, at a retry, as a hedge, or with the rest of a stream.
func TestARequestIsProcessedInItsRegionsOnly(t *testing.T) {
	stalls := events(time.Millisecond, func(c net.Conn, r *http.Request) bool {
		time.Sleep(3 * time.Second)
		return end(c, r)
	}, 1)
	for name, scenario := range map[string]struct {
		path   string
		script handler
	}{
		"answered":                {"/safe/x", respond(200, "ok")},
		"refused":                 {"/safe/x", respond(503, "", "Not-Run: 1")},
		"failed":                  {"/safe/x", respond(500, "no")},
		"failed, not repeatable":  {"/unsafe/x", respond(503, "", "Not-Run: 1")},
		"connection closed":       {"/safe/x", raw("")},
		"stream breaks off":       {"/stream/x", events(time.Millisecond, raw(""), 1)},
		"stream stalls":           {"/stream/x", stalls},
		"stream never begins":     {"/stream/x", hang},
		"stream, not repeatable":  {"/once/x", respond(503, "", "Not-Run: 1")},
		"address taken by others": {"/safe/x", respond(421, "")},
	} {
		for _, lists := range [][2][]string{{{"east"}, nil}, {nil, {"east"}}, {{"east", "west"}, {"east", "north"}}} {
			t.Run(fmt.Sprintf("%s %v", name, lists), func(t *testing.T) {
				runHarness(t, func(w *harness) {
					w.restrict(lists[0], lists[1])
					for range 8 {
						w.send("POST", scenario.path, "x")
					}
					w.g.Expect(w.endpoints["e0"].count()).To(BeNumerically(">", 0))
					w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
				}, []handler{scenario.script}, []handler{respond(200, "ok")})
			})
		}
	}
}

// Guards against callers that wait although no endpoint may get their request.
func TestARequestWithoutAnEndpointInItsRegionsIsRefusedAtOnce(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.restrict([]string{"east"}, []string{"west"})
		a := w.send("POST", "/safe/x", "")
		w.g.Expect(a.Code).To(Equal(503))
		w.g.Expect(a.elapsed).To(BeZero())
		w.g.Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
	}, []handler{respond(200, "ok")}, []handler{respond(200, "ok")})
}

// Guards against a new place that selects an endpoint without regard to regions, cold endpoints
// and evacuations: all queries are made by one function, and requests are sent only to endpoints
// that were selected with them.
func TestEndpointsAreSelectedInOnePlace(t *testing.T) {
	g := NewWithT(t)
	names, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(HaveOccurred())
	var queries, sends []string
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		for _, d := range file.Decls {
			f, isFunc := d.(*ast.FuncDecl)
			if !isFunc {
				continue
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.CompositeLit:
					if selects(n.Type, "balance", "Query") {
						queries = append(queries, f.Name.Name)
					}
				case *ast.CallExpr:
					if s, ok := n.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Do" {
						sends = append(sends, fmt.Sprintf("%s %s", f.Name.Name, addressOf(n)))
					}
				}
				return true
			})
		}
	}
	g.Expect(queries).To(ConsistOf("query"))
	g.Expect(sends).To(ConsistOf("begin lease.Record.Addr", "hedge lease.Record.Addr"))
}

// selects reports whether an expression is the given name of a package.
func selects(e ast.Expr, pkg, name string) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok || s.Sel.Name != name {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == pkg
}

// addressOf returns the second argument of a call, such as "lease.Record.Addr".
func addressOf(c *ast.CallExpr) string {
	var parts []string
	for e := c.Args[1]; ; {
		switch x := e.(type) {
		case *ast.SelectorExpr:
			parts = append([]string{x.Sel.Name}, parts...)
			e = x.X
			continue
		case *ast.Ident:
			parts = append([]string{x.Name}, parts...)
		}
		return strings.Join(parts, ".")
	}
}

// Guards against gateways that together send more to a cold endpoint than it bears, in any
// second, however many they are and whoever dies.
func TestAColdEndpointGetsNoMoreThanItBears(t *testing.T) {
	const perSecond, overage, slack = 14.0, 1.5, 5.0
	limits := map[string]balance.ColdLimit{"s": {Duration: 5 * time.Second, Rate: balance.ColdRate(perSecond, overage, slack)}}
	for _, n := range []int{1, 2, 6, 34} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			runFleet(t, n, func(f *fleet) {
				list := f.list()
				list.Endpoints["e0"].ColdUntil = time.Now().Add(20 * time.Second)
				for _, w := range f.gateways {
					w.balancer.SetColdLimits(limits)
					w.balancer.Update(list)
				}
				began := time.Now()
				if n > 1 {
					time.AfterFunc(4*time.Second, func() { f.kill(f.holder("e0")) })
				}
				f.generateLoad("/safe/x", requestInterval, 12*time.Second)
				f.g.Expect(f.endpoints["e0"].maxArrivals(time.Second, began)).To(BeNumerically("<=", int(perSecond*overage+slack)))
				f.g.Expect(f.endpoints["e0"].arrivalsAfter(began)).To(BeNumerically(">=", 12*10/2), "the endpoint gets requests")
			}, []handler{delayed(10*time.Millisecond, respond(200, "ok"))}, []handler{delayed(10*time.Millisecond, respond(200, "ok"))})
		})
	}
}
