package outlier

import (
	"testing"

	"threadsail/internal/dispatch"
)

// MaySend avoids an ejected server only if another member has recently answered this pooler, and neither if this pooler is a prober of the
// server nor if it has had good answers from it.
func TestMaySend(t *testing.T) {
	for _, c := range []struct {
		ejected, probing bool
		outcomes         map[string]Outcome
		want             dispatch.SendDecision
	}{
		{true, false, map[string]Outcome{"b": Success}, dispatch.SendElsewhere},
		{false, false, map[string]Outcome{"b": Success}, dispatch.Send},
		{true, true, map[string]Outcome{"b": Success}, dispatch.Send},
		{true, false, nil, dispatch.Send},
		{true, false, map[string]Outcome{"b": Failure}, dispatch.Send},
		{true, false, map[string]Outcome{"b": Success, "a": Failure}, dispatch.SendElsewhere},
		{true, false, map[string]Outcome{"b": Success, "a": Success}, dispatch.Send},
	} {
		component := New(testSettings, "z1", nil)
		component.selection.ejected["a"] = c.ejected
		component.selection.probing["a"] = c.probing
		component.selection.alternatives["a"] = []string{"b"}
		for server, outcome := range c.outcomes {
			component.Observe(server, 0, outcome, 0)
			component.Observe(server, 0, outcome, 0)
		}
		if got := component.MaySend(0, nil, "a"); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}
