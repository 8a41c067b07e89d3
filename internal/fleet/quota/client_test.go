package quota

import (
	"testing"
	"testing/synctest"
	"time"
)

// A pooler applies only the newest grant, with a term that begins at the request. It rejects a grant from an earlier leader, one older than
// the applied grant, and one that arrives after its expiry.
func TestApplyGrantRejectsStaleGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limits.List[0]
		client := NewClient("a/1", term, 10, limits)
		request := func() uint64 {
			client.Take(l, "k", 1)
			r, _, _ := client.NextRequest()
			return r.Number
		}
		grant := func(token, number uint64) Grant {
			return Grant{Token: token, Number: number, Term: term, Quotas: map[string]float64{"hot/k": 50}}
		}
		rate := func() float64 { return client.Metrics().Rate["hot"] }
		client.ObserveLeader("h", 7)
		first := request()
		time.Sleep(term / 2)
		second := request()
		if client.ApplyGrant("g", grant(6, second)) || rate() != 5 {
			t.Error("applied an earlier leader's grant")
		}
		if !client.ApplyGrant("h", grant(7, second)) || rate() != 55 {
			t.Errorf("the grant was rejected or the rate is %v, want 55", rate())
		}
		if client.ApplyGrant("h", grant(7, first)) {
			t.Error("applied a grant older than the applied one")
		}
		if r, _, _ := client.NextRequest(); r.AppliedNumber != second {
			t.Errorf("applies the grant of request %d, but reports %d", second, r.AppliedNumber)
		}
		client.ObserveLeader("i", 8)
		if r, _, _ := client.NextRequest(); r.AppliedNumber != 0 || r.Held["hot/k"] != 50 {
			t.Errorf("request to the next leader: got %+v, want only the held quota", r)
		}
		time.Sleep(term - time.Millisecond)
		if rate() != 55 {
			t.Error("the quota expired before the end of its term")
		}
		late := request()
		time.Sleep(time.Millisecond)
		if rate() != 5 {
			t.Error("the quota is in force after the end of its term")
		}
		time.Sleep(term)
		if client.ApplyGrant("i", grant(8, late)) {
			t.Error("applied an expired grant")
		}
	})
}
