// Package docs_test holds the pages to the code: what they cite must exist.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pages are the documents that are held to the code, from the repository's root.
var pages = []string{
	"docs/ARCHITECTURE.md", "CONTRIBUTING.md", "README.md",
	"docs/operations.md", "docs/runbooks/fleet.md", "docs/runbooks/inventory.md", "docs/runbooks/migration.md",
	"docs/leases.md", "docs/shared.md", "docs/distribution.md", "docs/limits.md", "docs/verdicts.md", "docs/shards.md", "docs/purges.md",
	"docs/fleet.md", "docs/endings.md", "docs/deployments.md", "docs/membership.md", "docs/translation.md", "docs/lab.md", "docs/CAPACITY.md",
}

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// aPath is a path within the repository.
	aPath = regexp.MustCompile(`^(?:internal|cmd|deploy|docs|tools)(?:/[A-Za-z0-9._-]+)*$`)
	// aName is PACKAGE.NAME or PACKAGE.TYPE.MEMBER; a key of a section that has a package's name looks alike, see settings.
	aName = regexp.MustCompile(`^([a-z]+)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)(?:\(\))?$`)
	// aTest is the name of a test; one with … behind it is the beginning of several names.
	aTest = regexp.MustCompile(`\b(Test[A-Z]\w*)(?:$|[^\w…])`)
	// fileEndings tell a file's name from a package's member.
	fileEndings = regexp.MustCompile(`\.(?:go|md|json|toml|yaml|yml|csv|cue|txt|mod|sum|sh)$`)
)

// TestCitations finds citations of paths and names that do not exist.
func TestCitations(t *testing.T) {
	const root = ".."
	tree := parseTree(t, root)
	for _, page := range pages {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(root, page))
			if err != nil {
				t.Fatal(err)
			}
			cited := 0
			for _, match := range codeSpan.FindAllStringSubmatch(string(text), -1) {
				span := match[1]
				switch {
				case aPath.MatchString(span):
					cited++
					if _, err := os.Stat(filepath.Join(root, span)); err != nil {
						t.Errorf("`%s` does not exist", span)
					}
				case !fileEndings.MatchString(span):
					name := aName.FindStringSubmatch(span)
					if name == nil || tree.declared[name[1]] == nil {
						continue
					}
					cited++
					if !tree.declared[name[1]][name[2]] && !tree.settings.declares(name[1], name[2]) {
						t.Errorf("`%s`: no package %s declares it", span, name[1])
					}
				}
			}
			if cited == 0 {
				t.Error("the page cites nothing: has the form of its citations changed?")
			}
		})
	}
}

// TestNamedTestsExist finds tests that a page names and no package has.
func TestNamedTestsExist(t *testing.T) {
	const root = ".."
	tests := declaredTests(t, root)
	named := 0
	for _, page := range pages {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range aTest.FindAllStringSubmatch(string(text), -1) {
			named++
			if !tests[match[1]] {
				t.Errorf("%s: no package has %s", page, match[1])
			}
		}
	}
	if named == 0 {
		t.Error("no page names a test: has the form of their names changed?")
	}
}

// declaredTests returns the names of the tests below root.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	eachFile(t, root, func(path string, file *ast.File) {
		if !strings.HasSuffix(path, "_test.go") {
			return
		}
		for _, d := range file.Decls {
			if function, ok := d.(*ast.FuncDecl); ok && function.Recv == nil {
				tests[function.Name.Name] = true
			}
		}
	})
	return tests
}

// eachFile calls visit with each Go file below root, parsed.
func eachFile(t *testing.T, root string, visit func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "testdata" || entry.Name() == "journal") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		visit(path, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCitationsAreFound holds the patterns to examples.
func TestCitationsAreFound(t *testing.T) {
	for span, want := range map[string][2]bool{ // is a path, is a name
		"internal/policy":              {true, false},
		"deploy/fleet.json":            {true, false},
		"policy.Router.HandleRequest":  {false, true},
		"pooler.Serve":                 {false, true},
		"policy.minRoundGap":           {false, true},
		"go test ./...":                {false, false},
		"steward.listen and the next":  {false, false},
		"internal/fleet/* and cmd/all": {false, false},
	} {
		got := [2]bool{aPath.MatchString(span), aName.MatchString(span)}
		if got != want {
			t.Errorf("%q: got path %t, name %t, want %t, %t", span, got[0], got[1], want[0], want[1])
		}
	}
}

// sourceTree is what the repository's code declares outside of its tests.
type sourceTree struct {
	// declared holds, by package name, NAME, and TYPE.MEMBER for methods and fields. Packages of one name are taken together.
	declared map[string]map[string]bool
	settings *settings
}

// parseTree reads all code below root.
func parseTree(t *testing.T, root string) sourceTree {
	t.Helper()
	tree := sourceTree{map[string]map[string]bool{}, newSettings()}
	eachFile(t, root, func(path string, file *ast.File) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		names := tree.declared[file.Name.Name]
		if names == nil {
			names = map[string]bool{}
			tree.declared[file.Name.Name] = names
		}
		tree.settings.addFile(file)
		for _, d := range file.Decls {
			addDeclaration(names, d)
		}
	})
	return tree
}

// addDeclaration enters what one declaration declares.
func addDeclaration(names map[string]bool, d ast.Decl) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		names[receiverPrefix(d)+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			addSpec(names, spec)
		}
	}
}

func addSpec(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		for _, member := range members(spec.Type) {
			names[spec.Name.Name+"."+member] = true
		}
	}
}

// members returns the names of a struct's fields or an interface's methods.
func members(expression ast.Expr) []string {
	var list *ast.FieldList
	switch expression := expression.(type) {
	case *ast.StructType:
		list = expression.Fields
	case *ast.InterfaceType:
		list = expression.Methods
	default:
		return nil
	}
	var names []string
	for _, field := range list.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// receiverPrefix returns "TYPE." for a method, "" for a function.
func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	expression := d.Recv.List[0].Type
	for {
		switch typed := expression.(type) {
		case *ast.StarExpr:
			expression = typed.X
		case *ast.IndexExpr:
			expression = typed.X
		case *ast.IndexListExpr:
			expression = typed.X
		case *ast.Ident:
			return typed.Name + "."
		default:
			return ""
		}
	}
}
