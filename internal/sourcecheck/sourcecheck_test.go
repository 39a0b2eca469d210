// Package sourcecheck holds checks of the program's own source text for shapes that have caused faults.
package sourcecheck

import (
	"fmt"
	"go/ast"
	"go/build"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"strings"
	"testing"
)

// decidingPackages are the packages that own state and decide: the same calls have to give the same results.
var decidingPackages = []string{
	"admission", "core", "experiment", "gossip", "hotrestart", "lease", "queueing", "quota", "rate", "rollingrestart", "simulation", "usage",
}

// A finding is a place where a shape was found: package and function, and the expression.
type finding struct {
	function   string
	expression string
}

// An exception says why a shape does no harm at a place.
type exception struct {
	finding
	reason string
}

// A pointer to an element of a slice that grows points to a copy that nobody uses: a loan was recorded in
// one, and a ceiling exceeded (docs/incidents/2026-12-03-stale-link-pointer.md).
func TestNoPointersIntoGrowingSlices(t *testing.T) {
	checkSource(t, findElementPointers, []exception{
		{finding{"admission.lookupCustomer", "ctl.settings.Plans[index]"}, "settings never change after the start"},
		{finding{"admission.relinkCustomer", "ctl.settings.Plans[c.planIndex]"}, "settings never change after the start"},
		{finding{"core.countResponse", "m.metrics.classes[classIndex]"}, "as many as settings have classes"},
		{finding{"quota.plan", "a.ledger.Plans[a.PlanIndex]"}, "settings never change after the start"},
		{finding{"usage.Report", "c.sources[n]"}, "one for each limiter, all made at the start"},
		{finding{"usage.Tick", "c.sources[n]"}, "one for each limiter, all made at the start"},
		{finding{"usage.onPage", "c.sources[from]"}, "one for each limiter, all made at the start"},
		{finding{"usage.onPendingReport", "c.sources[from]"}, "one for each limiter, all made at the start"},
		{finding{"usage.query", "c.sources[n]"}, "one for each limiter, all made at the start"},
	})
}

// The order of a map differs between two runs with the same events, and with it the effects.
func TestNoDecisionByMapOrder(t *testing.T) {
	checkSource(t, findMapRanges, []exception{
		{finding{"admission.mergeEndpoints", "ctl.endpoints.byID"}, "each backend by itself"},
		{finding{"admission.relist", "set.byID"}, "the list is sorted after"},
		{finding{"admission.derivePending", "ctl.endpoints.byID"}, "the list is sorted after"},
		{finding{"admission.derivePending", "g.peers"}, "the list is sorted after"},
		{finding{"admission.renewEpoch", "ctl.endpoints.byID"}, "each backend by itself"},
		{finding{"admission.renewEpoch", "ctl.gossip.peers"}, "each peer by itself"},
		{finding{"core.currentMetrics", "m.endpoints.byID"}, "a count"},
		{finding{"core.liveBackends", "m.endpoints.byID"}, "a count"},
		{finding{"experiment.measures", "fields"}, "from one map to another"},
		{finding{"experiment.summarize", "measures(r)"}, "each measure by itself"},
		{finding{"experiment.summarize", "values"}, "each measure by itself"},
		{finding{"quota.Counters", "l.peers"}, "a count"},
		{finding{"simulation.endWhenIdle", "l.world.openRequests"}, "whether there is any"},
		{finding{"simulation.checkRestarts", "restarting"}, "each limiter by itself"},
		{finding{"simulation.kill", "l.world.openRequests"}, "each request by itself"},
		{finding{"simulation.kill", "r.attempts"}, "each attempt by itself"},
		{finding{"simulation.summarizeLeases", "c.messages"}, "sums and a maximum of whole numbers"},
		{finding{"usage.UnreportedUnits", "r.open"}, "a sum of whole numbers"},
		{finding{"usage.openEntries", "r.open"}, "the entries are sorted after"},
		{finding{"usage.sumUsage", "units"}, "the list is sorted after"},
	})
}

// checkSource reports all findings without an exception, and all exceptions without a finding.
func checkSource(t *testing.T, find func(*types.Info, ast.Node) string, exceptions []exception) {
	t.Helper()
	found := map[finding][]string{}
	for _, name := range decidingPackages {
		p := load(t, name)
		for _, file := range p.files {
			for _, declaration := range file.Decls {
				function, ok := declaration.(*ast.FuncDecl)
				if !ok {
					continue
				}
				ast.Inspect(function, func(node ast.Node) bool {
					if expression := find(p.info, node); expression != "" {
						f := finding{name + "." + function.Name.Name, expression}
						found[f] = append(found[f], p.positions.Position(node.Pos()).String())
					}
					return true
				})
			}
		}
	}
	for _, e := range exceptions {
		if found[e.finding] == nil {
			t.Errorf("no %s in %s any more: take the exception out", e.expression, e.function)
		}
		delete(found, e.finding)
	}
	for f, positions := range found {
		t.Errorf("%s: %s at %s", f.function, f.expression, strings.Join(positions, ", "))
	}
}

// findElementPointers returns x[i] where the address of an element of a slice is taken.
func findElementPointers(info *types.Info, node ast.Node) string {
	address, ok := node.(*ast.UnaryExpr)
	if !ok || address.Op != token.AND {
		return ""
	}
	element, ok := address.X.(*ast.IndexExpr)
	if !ok {
		return ""
	}
	if _, isSlice := info.TypeOf(element.X).Underlying().(*types.Slice); !isSlice {
		return ""
	}
	return types.ExprString(element)
}

// findMapRanges returns m where a loop goes through a map in its own order.
func findMapRanges(info *types.Info, node ast.Node) string {
	loop, ok := node.(*ast.RangeStmt)
	if !ok {
		return ""
	}
	if _, isMap := info.TypeOf(loop.X).Underlying().(*types.Map); !isMap {
		return ""
	}
	return types.ExprString(loop.X)
}

// loaded is a package with its types.
type loaded struct {
	files     []*ast.File
	info      *types.Info
	positions *token.FileSet
}

var (
	positions      = token.NewFileSet()
	sourceImporter = importer.ForCompiler(positions, "source", nil)
	packages       = map[string]loaded{}
)

// load parses and checks the files of a package, without its tests.
func load(t *testing.T, name string) loaded {
	t.Helper()
	if p, ok := packages[name]; ok {
		return p
	}
	build.Default.CgoEnabled = false // the source importer would run cgo
	paths, err := filepath.Glob(filepath.Join("..", name, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files of %s: %v", name, err)
	}
	p := loaded{positions: positions, info: &types.Info{Types: map[ast.Expr]types.TypeAndValue{}}}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(positions, path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		p.files = append(p.files, file)
	}
	if _, err := (&types.Config{Importer: sourceImporter}).Check(fmt.Sprintf("lemongate/internal/%s", name), positions, p.files, p.info); err != nil {
		t.Fatal(err)
	}
	packages[name] = p
	return p
}
