package goldentest

import (
	"reflect"
	"slices"
	"testing"
)

type tree struct {
	Name  string
	Count uint64
	Ratio float64
	Leaf  *leaf
	Child *tree
	ByKey map[string]leaf
}

type leaf struct {
	Set   bool
	Bytes []byte
	Names []string
}

func TestFilledLeavesNothingUnset(t *testing.T) {
	if unset := unsetFields(reflect.ValueOf(Filled[tree](t)), "tree", nil); len(unset) > 0 {
		t.Errorf("got unset fields %q, want none", unset)
	}
}

func TestUnsetFieldsAreNamed(t *testing.T) {
	value := Filled[tree](t)
	value.Count, value.Leaf.Bytes = 0, nil
	value.Leaf.Names[0] = ""
	got := unsetFields(reflect.ValueOf(value), "tree", nil)
	if want := []string{"tree.Count", "tree.Leaf.Bytes", "tree.Leaf.Names[0]"}; !slices.Equal(got, want) {
		t.Errorf("got unset fields %q, want %q", got, want)
	}
}
