package outlier

import (
	"testing"
	"time"
)

// An ejection needs sufficient evidence for the whole confirmation delay, lasts longer with each consecutive ejection, ends early after
// enough good answers, and is removed some time after its end.
func TestEjectionLifecycle(t *testing.T) {
	active, now := ejections{}, time.Unix(1000, 0)
	bad := Finding{Server: "a", Complainers: 3, Zones: 2, Failed: 9, complaintWeight: 9}
	for _, step := range []struct {
		after   time.Duration
		finding Finding
		want    changeKind
	}{
		{0, bad, ""},
		{confirmationDelay - 1, bad, ""},
		{0, Finding{}, ""}, // insufficient evidence restarts the confirmation delay
		{0, bad, ""},
		{confirmationDelay, bad, changeBegun},
		{testSettings.BaseEjectionTime - 1, Finding{}, ""}, // no evidence either way: the ejection lasts for its full duration
		{1, Finding{}, changeExpired},
		{0, bad, ""},
		{confirmationDelay, bad, changeBegun},
		{2*testSettings.BaseEjectionTime - 1, bad, ""},
		{1, bad, changeRenewed},
		{time.Second, Finding{Satisfied: 1, satisfiedWeight: 9}, ""},
		{time.Second, Finding{Satisfied: 2, satisfiedWeight: 9, complaintWeight: 9}, ""},
		{time.Second, Finding{Satisfied: 2, satisfiedWeight: 10, complaintWeight: 9}, changeCleared},
		{0, bad, ""},
		{confirmationDelay, bad, changeBegun},
		{maxEjectionMultiplier * testSettings.BaseEjectionTime, Finding{}, changeExpired},
		{ejectionRetention, Finding{}, ""},
	} {
		now = now.Add(step.after)
		got := changeKind("")
		for _, change := range active.update(now, testSettings, map[string]Finding{"a": step.finding}, 0) {
			got = change.kind
		}
		if got != step.want {
			t.Fatalf("after %v, %v: got %q, want %q", step.after, step.finding, got, step.want)
		}
	}
	if len(active) > 0 {
		t.Error("an ejection that ended long ago is still stored")
	}
}
