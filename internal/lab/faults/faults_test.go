package faults

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestPlan(t *testing.T) {
	s := time.Second
	p, err := New([]Step{
		{At: 5 * s, Act: Cut, Poolers: []int{0, 1}, Servers: []int{0}, For: 2 * s},
		{At: 3 * s, Act: Kill, Poolers: []int{2}, For: 4 * s},
		{At: 6 * s, Act: Promote, Servers: []int{1}},
	}, 3, 2)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, at := range []time.Duration{0, 3 * s, 6 * s, 10 * s} {
		for _, step := range p.Due(at) {
			got = append(got, step.At.String()+" "+string(step.Act))
		}
	}
	want := []string{"3s kill", "5s cut", "6s promote", "7s heal", "7s restart"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if _, more := p.Next(); more {
		t.Error("steps are left")
	}
}

func TestPlanRefuses(t *testing.T) {
	for _, c := range []struct {
		step Step
		want string
	}{
		{Step{Act: "explode", Poolers: []int{0}}, "steps[0].act"},
		{Step{Act: Kill}, "steps[0].poolers"},
		{Step{Act: Cut, Poolers: []int{0}}, "steps[0].servers"},
		{Step{Act: Kill, Poolers: []int{3}}, "steps[0].poolers: 3 is not below 3"},
		{Step{Act: Hup, Poolers: []int{0}, For: time.Second}, "steps[0].for_ms"},
		{Step{Act: Promote, Servers: []int{0, 1}}, "steps[0].servers"},
	} {
		if _, err := New([]Step{c.step}, 3, 2); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.step, err, c.want)
		}
	}
}

func TestPick(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for spec, want := range map[string][]int{"all": {0, 1, 2, 3}, "0-1,3": {0, 1, 3}, "2,2": {2}, "": nil, "25%-50%": {1}, "0%-100%": {0, 1, 2, 3}} {
		got, err := Pick(spec, 4, rng)
		if err != nil || !cmp.Equal(got, want) {
			t.Errorf("%q: %v, %v, want %v", spec, got, err, want)
		}
	}
	if got, err := Pick("70%", 10, rng); err != nil || len(got) != 7 {
		t.Errorf("70%% of 10: %v, %v", got, err)
	}
	for _, bad := range []string{"4", "2-1", "x", "0%", "101%"} {
		if _, err := Pick(bad, 4, rng); err == nil {
			t.Errorf("%q taken", bad)
		}
	}
}
