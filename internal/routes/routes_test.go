package routes

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTable(t *testing.T) {
	my := func(major, minor int) Target { return Target{MySQL, Version{major, minor}} }
	pg := Target{Wire: Postgres}
	tab := NewTable(MySQL)
	steps := []struct {
		name string
		do   func()
		need Need
		at   Wire // of the address x
	}{
		{"nothing listed", func() {}, Need{}, MySQL},
		{"one of the front's own", func() { tab.Add("a", "x", 1, my(5, 7)) }, Need{Same: true}, MySQL},
		{"another cluster", func() { tab.Add("z", "z", 2, pg) }, Need{Same: true}, MySQL},
		{"a mixed cluster", func() { tab.Add("b", "y", 1, pg) }, Need{true, true}, MySQL},
		{"listed again", func() { tab.Add("b", "y", 1, pg) }, Need{true, true}, MySQL},
		{"the same address on the new wire, before the old one has gone", func() { tab.Add("a2", "x", 1, pg) }, Need{true, true}, Postgres},
		{"the old one gone", func() { tab.Drop("a") }, Need{Translation: true}, Postgres},
		{"gone twice", func() { tab.Drop("a") }, Need{Translation: true}, Postgres},
		{"the new one gone: its grace is on its wire", func() { tab.Drop("a2") }, Need{Translation: true}, Postgres},
		{"all gone", func() { tab.Drop("b") }, Need{}, Postgres},
		{"back on the old wire", func() { tab.Add("a", "x", 1, my(8, 4)) }, Need{Same: true}, MySQL},
		{"moved to another cluster", func() { tab.Add("a", "x", 2, my(8, 4)) }, Need{}, MySQL},
	}
	for _, s := range steps {
		s.do()
		if d := cmp.Diff(s.need, tab.Needs(1)); d != "" || tab.At("x").Wire != s.at {
			t.Errorf("%s: %v %s", s.name, tab.At("x"), d)
		}
	}
	if d := cmp.Diff([]int{2}, tab.Mixed()); d != "" {
		t.Error(d)
	}
	tab.Add("c", "c", 2, my(5, 7))
	tab.Add("d", "d", 2, my(0, 0))
	if v := tab.Oldest(2, MySQL); v != (Version{5, 7}) || v.AtLeast(8, 0) || !v.AtLeast(5, 7) || !v.AtLeast(5, 6) {
		t.Error("the oldest is", v)
	}
}

func TestParse(t *testing.T) {
	for in, want := range map[string]Version{"": {}, "16": {16, 0}, "8.4": {8, 4}, "5.7.44-log": {5, 7}} {
		if v, err := ParseVersion(in); v != want || err != nil {
			t.Errorf("%s: %v, %v", in, v, err)
		}
	}
	for _, in := range []string{"x", "0", "8.x", "-1"} {
		if _, err := ParseVersion(in); err == nil {
			t.Errorf("%s passes", in)
		}
	}
	if _, err := ParseWire("odbc", MySQL); err == nil {
		t.Error("odbc passes")
	}
}
