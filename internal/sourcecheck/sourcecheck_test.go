// Package sourcecheck checks the source text of the program for patterns that have caused faults.
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

// deterministicPackages are the packages that own state and make decisions: the same calls must give the same results.
var deterministicPackages = []string{
	"admission", "core", "experiment", "gossip", "hotrestart", "lease", "queueing", "quota", "rate", "rollingrestart", "simulation", "usage",
}

// A finding is a place where a pattern was found: package and function, and the expression.
type finding struct {
	function   string
	expression string
}

// An exception says why a pattern is harmless at a place.
type exception struct {
	finding
	reason string
}

// A pointer to an element of a slice points to an unused copy once the slice has grown. Such a pointer once received a
// loan, and a ceiling was exceeded (docs/incidents/2026-12-03-stale-link-pointer.md).
func TestNoPointersIntoGrowingSlices(t *testing.T) {
	checkSource(t, findElementPointers, []exception{
		{finding{"admission.lookupCustomer", "ctl.settings.Plans[index]"}, "settings do not change after the start"},
		{finding{"admission.relinkCustomer", "ctl.settings.Plans[c.planIndex]"}, "settings do not change after the start"},
		{finding{"core.countResponse", "m.metrics.classes[classIndex]"}, "fixed length: one for each class of the settings"},
		{finding{"quota.plan", "a.ledger.Plans[a.PlanIndex]"}, "settings do not change after the start"},
		{finding{"usage.Report", "c.sources[n]"}, "fixed length: one for each limiter"},
		{finding{"usage.Tick", "c.sources[n]"}, "fixed length: one for each limiter"},
		{finding{"usage.onPage", "c.sources[from]"}, "fixed length: one for each limiter"},
		{finding{"usage.onPendingReport", "c.sources[from]"}, "fixed length: one for each limiter"},
		{finding{"usage.query", "c.sources[n]"}, "fixed length: one for each limiter"},
	})
}

// The iteration order of a map differs between two runs with the same events, and with it the effects.
func TestNoDecisionByMapOrder(t *testing.T) {
	checkSource(t, findMapRanges, []exception{
		{finding{"admission.mergeEndpoints", "ctl.endpoints.byID"}, "each backend is handled independently"},
		{finding{"admission.relist", "set.byID"}, "the list is sorted afterwards"},
		{finding{"admission.derivePending", "ctl.endpoints.byID"}, "the list is sorted afterwards"},
		{finding{"admission.derivePending", "g.peers"}, "the list is sorted afterwards"},
		{finding{"admission.renewEpoch", "ctl.endpoints.byID"}, "each backend is handled independently"},
		{finding{"admission.renewEpoch", "ctl.gossip.peers"}, "each peer is handled independently"},
		{finding{"core.currentMetrics", "m.endpoints.byID"}, "only counts entries"},
		{finding{"core.hasSharedAddress", "l.byID"}, "tests only whether there is any"},
		{finding{"core.liveBackends", "m.endpoints.byID"}, "only counts entries"},
		{finding{"experiment.measures", "fields"}, "copies from one map to another"},
		{finding{"experiment.summarize", "measures(r)"}, "each measure is handled independently"},
		{finding{"experiment.summarize", "values"}, "each measure is handled independently"},
		{finding{"quota.Counters", "l.peers"}, "only counts entries"},
		{finding{"simulation.endWhenIdle", "l.world.openRequests"}, "tests only whether there is any"},
		{finding{"simulation.checkRestarts", "restarting"}, "each limiter is handled independently"},
		{finding{"simulation.kill", "l.world.openRequests"}, "each request is handled independently"},
		{finding{"simulation.kill", "r.attempts"}, "each attempt is handled independently"},
		{finding{"simulation.summarizeLeases", "c.messagesByReceiver"}, "only adds integers and takes their maximum"},
		{finding{"usage.UnreportedUnits", "r.open"}, "only adds integers"},
		{finding{"usage.openEntries", "r.open"}, "the entries are sorted afterwards"},
		{finding{"usage.sumUsage", "units"}, "the list is sorted afterwards"},
	})
}

// checkSource reports each finding without an exception, and each exception without a finding.
func checkSource(t *testing.T, find func(*types.Info, ast.Node) string, exceptions []exception) {
	t.Helper()
	found := map[finding][]string{}
	for _, name := range deterministicPackages {
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
			t.Errorf("no %s in %s any more: remove the exception", e.expression, e.function)
		}
		delete(found, e.finding)
	}
	for f, positions := range found {
		t.Errorf("%s: %s at %s has no exception", f.function, f.expression, strings.Join(positions, ", "))
	}
}

// findElementPointers returns the text of x[i] if a node is &x[i] and x is a slice, "" otherwise.
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

// findMapRanges returns the text of m if a node is a range loop over m and m is a map, "" otherwise.
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

// loadedPackage is a parsed package with its type information.
type loadedPackage struct {
	files     []*ast.File
	info      *types.Info
	positions *token.FileSet
}

var (
	positions      = token.NewFileSet()
	sourceImporter = importer.ForCompiler(positions, "source", nil)
	packages       = map[string]loadedPackage{}
)

// load parses and type-checks the files of a package, without its tests.
func load(t *testing.T, name string) loadedPackage {
	t.Helper()
	if p, ok := packages[name]; ok {
		return p
	}
	build.Default.CgoEnabled = false // the source importer would run cgo
	paths, err := filepath.Glob(filepath.Join("..", name, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("package %s: no Go files found: %v", name, err)
	}
	p := loadedPackage{positions: positions, info: &types.Info{Types: map[ast.Expr]types.TypeAndValue{}}}
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
