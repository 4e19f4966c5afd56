package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// eventRow matches a table row of docs/EVENTS.md that describes an event.
var eventRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([A-Z]+) \| ([^|]+) \| [^|]+ \| [^|]+ \| [^|]+ \|$`)

func TestCatalogueMatchesDocs(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	var documented, catalogued [][]string
	for _, match := range eventRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1:])
	}
	for _, kind := range Catalogue {
		catalogued = append(catalogued, []string{strconv.Itoa(int(kind.Number)), kind.Level.String(), kind.Text})
	}
	c.Assert(documented, qt.DeepEquals, catalogued)
}

func TestNumbersAreUniqueAndCatalogued(t *testing.T) {
	c := qt.New(t)
	c.Assert(byNumber, qt.HasLen, len(Catalogue), qt.Commentf("the catalogue contains a number twice"))
	declared := declaredNumbers(c)
	c.Assert(declared, qt.HasLen, len(Catalogue))
	for name, number := range declared {
		_, found := byNumber[number]
		c.Assert(found, qt.IsTrue, qt.Commentf("%s = %d is not in the catalogue", name, number))
	}
}

// declaredNumbers returns the constants of type Number declared in catalogue.go, by name.
func declaredNumbers(c *qt.C) map[string]Number {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	c.Assert(err, qt.IsNil)
	declared := map[string]Number{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isSpec := node.(*ast.ValueSpec)
		if !isSpec {
			return true
		}
		kind, isIdent := spec.Type.(*ast.Ident)
		if !isIdent || kind.Name != "Number" {
			return true
		}
		for i, name := range spec.Names {
			number, err := strconv.Atoi(spec.Values[i].(*ast.BasicLit).Value)
			c.Assert(err, qt.IsNil)
			declared[name.Name] = Number(number)
		}
		return true
	})
	return declared
}
