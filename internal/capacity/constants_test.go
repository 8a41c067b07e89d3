package capacity

import (
	"bytes"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/printer"
	"go/token"
	"go/types"
	"path/filepath"
	"strings"
	"testing"
)

// The constants that the page's bounds are made of are those of the code.
func TestConstants(t *testing.T) {
	dirs := map[string]string{"config": "../config", "serverlist": "../serverlist", "policy": "../policy", "fleet": "../fleet", "scale": "../lab/scale", "discovery": "../protocol/discovery"}
	units := strings.NewReplacer("time.Millisecond", "1e-3", "time.Second", "1.0", "time.Minute", "60.0", " ms", " 1e-3")
	for name, want := range constants {
		pkg, short, _ := strings.Cut(name, ".")
		dir := dirs[pkg]
		if dir == "" {
			dir = "../fleet/" + pkg
		}
		files, _ := filepath.Glob(filepath.Join(dir, "*.go"))
		found := false
		for _, file := range files {
			set := token.NewFileSet()
			f, err := parser.ParseFile(set, file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range f.Decls {
				g, ok := d.(*ast.GenDecl)
				if !ok || g.Tok != token.CONST {
					continue
				}
				for _, s := range g.Specs {
					v := s.(*ast.ValueSpec)
					if len(v.Values) != 1 || v.Names[0].Name != short {
						continue
					}
					var text bytes.Buffer
					_ = printer.Fprint(&text, set, v.Values[0])
					got, err := types.Eval(set, nil, token.NoPos, units.Replace(text.String()))
					if err != nil {
						t.Fatalf("%s: %s: %v", name, text.String(), err)
					}
					if f, _ := constant.Float64Val(constant.ToFloat(got.Value)); f != want {
						t.Errorf("%s is %v in %s, %v here", name, f, file, want)
					}
					found = true
				}
			}
		}
		if !found {
			t.Errorf("%s: there is no such constant", name)
		}
	}
}
