package docs_test

import (
	"go/ast"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// settings holds the keys of the operators' files, as the structs that decode them declare them, in lower case: encoding/json ignores
// case. A section of a file may have the name of a package, so that SECTION.KEY is no name of Go.
type settings struct {
	sections map[string][]string        // by section: the types that decode it, as PACKAGE.TYPE
	keys     map[string]map[string]bool // by type, as PACKAGE.TYPE: the keys in it
}

func newSettings() *settings {
	return &settings{sections: map[string][]string{}, keys: map[string]map[string]bool{}}
}

// declares reports whether a type that decodes the section has the key.
func (s *settings) declares(section, key string) bool {
	for _, decoder := range s.sections[strings.ToLower(section)] {
		if s.keys[decoder][strings.ToLower(key)] {
			return true
		}
	}
	return false
}

// addFile enters the structs that a file declares.
func (s *settings) addFile(file *ast.File) {
	for _, d := range file.Decls {
		declaration, ok := d.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range declaration.Specs {
			s.addType(file.Name.Name, spec)
		}
	}
}

// addType enters the keys of a struct, and the sections that its fields are.
func (s *settings) addType(pkg string, spec ast.Spec) {
	typeSpec, ok := spec.(*ast.TypeSpec)
	if !ok {
		return
	}
	structType, ok := typeSpec.Type.(*ast.StructType)
	if !ok {
		return
	}
	keys := map[string]bool{}
	for _, field := range structType.Fields.List {
		for _, name := range field.Names {
			key := strings.ToLower(jsonKey(name, field.Tag))
			keys[key] = true
			if decoder := typeName(pkg, field.Type); decoder != "" {
				s.sections[key] = append(s.sections[key], decoder)
			}
		}
	}
	s.keys[pkg+"."+typeSpec.Name.Name] = keys
}

// jsonKey returns the key of a field: its tag's, else the field's name.
func jsonKey(name *ast.Ident, tag *ast.BasicLit) string {
	if tag == nil {
		return name.Name
	}
	text, err := strconv.Unquote(tag.Value)
	if err != nil {
		return name.Name
	}
	key, _, _ := strings.Cut(reflect.StructTag(text).Get("json"), ",")
	if key == "" {
		return name.Name
	}
	return key
}

// typeName returns the type of a field as PACKAGE.TYPE, "" for types without a name.
func typeName(pkg string, expression ast.Expr) string {
	switch typed := expression.(type) {
	case *ast.Ident:
		return pkg + "." + typed.Name
	case *ast.StarExpr:
		return typeName(pkg, typed.X)
	case *ast.SelectorExpr:
		if other, ok := typed.X.(*ast.Ident); ok {
			return other.Name + "." + typed.Sel.Name
		}
	}
	return ""
}

// TestSettingsAreFound compares what is found of the keys with examples.
func TestSettingsAreFound(t *testing.T) {
	found := parseTree(t, "..").settings
	for citation, want := range map[[2]string]bool{
		{"distribution", "distributors"}: true,
		{"postgres", "discovery"}:        true,
		{"mysql", "file"}:                true,
		{"translate", "IDs"}:             true,
		{"distribution", "Rank"}:         false,
		{"postgres", "listen"}:           false,
		{"policy", "poolers"}:            false,
	} {
		if got := found.declares(citation[0], citation[1]); got != want {
			t.Errorf("%s.%s: got %t, want %t", citation[0], citation[1], got, want)
		}
	}
}
