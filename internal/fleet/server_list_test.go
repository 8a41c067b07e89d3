package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/replication"
)

// However leaders follow each other, of whom each may have missed what others published last, a pooler that has the list of any
// announcement which a distributor has recorded comes by that distributor's delta to just the list of the newest announcement.
func TestListsOfManyLeaders(t *testing.T) {
	type entry struct{ ID, HostPort string }
	rapid.Check(t, func(t *rapid.T) {
		leaders := []*serverListReplica{newServerListReplica(), newServerListReplica(), newServerListReplica()}
		distributor := replication.History{FullReplacement: true}
		var versions []replication.Snapshot // as the distributor had them
		want := map[uint64]map[string]string{}
		a := discoveryleader.Announcement{Token: 5}
		leader := 0
		for range rapid.IntRange(1, 25).Draw(t, "lists") {
			if rapid.IntRange(0, 3).Draw(t, "another leader") == 0 {
				leader = rapid.IntRange(0, 2).Draw(t, "leader")
				a = discoveryleader.Announcement{Token: a.Token + 7}
			}
			a.Sequence++
			a.Holder = fmt.Sprint("h", leader)
			in, servers := encodedList{Revision: a.Sequence, Complete: true}, map[string]string{}
			for i := range 5 {
				if addr := rapid.IntRange(0, 2).Draw(t, "address"); addr > 0 {
					e := entry{fmt.Sprint("s", i), fmt.Sprint("a", addr)}
					servers[e.ID] = e.HostPort
					text, _ := json.Marshal(e)
					in.Members = append(in.Members, text)
				}
			}
			text, _ := json.Marshal(in)
			if err := leaders[leader].publish(a, text); err != nil {
				t.Fatal(err)
			}
			s := leaders[leader].replica.Snapshot()
			want[s.Version] = servers
			for i, other := range leaders { // some hear of it
				if i != leader && rapid.Bool().Draw(t, "received") {
					other.replica.Install(s)
				}
			}
			if rapid.Bool().Draw(t, "recorded") {
				distributor.Record(s)
				versions = append(versions, distributor.Snapshot())
			}
		}
		if len(versions) == 0 {
			return
		}
		newest := versions[len(versions)-1]
		for _, v := range versions[:len(versions)-1] {
			d, ok := distributor.DeltaSince(v.Version)
			if !ok {
				t.Fatalf("no delta since %d, which was recorded", v.Version)
			}
			got, ok := d.ApplyTo(v)
			if !ok {
				t.Fatalf("%+v does not follow %d", d, v.Version)
			}
			announcement, text, err := decodeList(got)
			if err != nil || announcementVersion(announcement) != newest.Version {
				t.Fatalf("%+v, %v", announcement, err)
			}
			var list encodedList
			if err := json.Unmarshal(text, &list); err != nil {
				t.Fatal(err)
			}
			servers := map[string]string{}
			for _, m := range list.Members {
				var e entry
				_ = json.Unmarshal(m, &e)
				servers[e.ID] = e.HostPort
			}
			if !reflect.DeepEqual(servers, want[newest.Version]) {
				t.Fatalf("from %d: %v, want %v", v.Version, servers, want[newest.Version])
			}
		}
		if _, ok := distributor.DeltaSince(newest.Version - 1); ok && versions[max(len(versions)-2, 0)].Version != newest.Version-1 {
			t.Errorf("a delta since a version that was not recorded")
		}
	})
}

// What is no list of an announcement, or no list at all, is not published and not reported.
func TestMalformedLists(t *testing.T) {
	l := newServerListReplica()
	for _, text := range []string{"", "{", `{"members":[{"host_port":"a"}]}`, `{"members":[3]}`} {
		if err := l.publish(discoveryleader.Announcement{Token: 1, Sequence: 1}, []byte(text)); err == nil || l.replica.Version() > 0 {
			t.Errorf("%q: %v, version %d", text, err, l.replica.Version())
		}
	}
	if err := l.publish(discoveryleader.Announcement{Token: 1, Sequence: 1}, []byte(`{"complete":true,"members":[{"id":"a"}]}`)); err != nil {
		t.Fatal(err)
	}
	s := l.replica.Snapshot()
	if _, _, err := decodeList(s); err != nil {
		t.Error(err)
	}
	s.Version++
	if _, _, err := decodeList(s); err == nil {
		t.Error("a list under another announcement's version")
	}
	if _, _, err := decodeList(replication.Snapshot{Version: 3}); err == nil {
		t.Error("a list without a header")
	}
}
