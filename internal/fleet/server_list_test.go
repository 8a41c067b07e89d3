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

// listedServer is a server in a list.
type listedServer struct{ ID, HostPort string }

// drawList draws a list of up to five servers, each at one of two addresses. It returns the encoded list and its addresses by
// server.
func drawList(t *rapid.T, revision uint64) (encoded []byte, addresses map[string]string) {
	list := encodedList{Revision: revision, Complete: true}
	addresses = map[string]string{}
	for i := range 5 {
		address := rapid.IntRange(0, 2).Draw(t, "address")
		if address == 0 {
			continue
		}
		server := listedServer{fmt.Sprint("s", i), fmt.Sprint("a", address)}
		addresses[server.ID] = server.HostPort
		member, _ := json.Marshal(server)
		list.Members = append(list.Members, member)
	}
	encoded, _ = json.Marshal(list)
	return encoded, addresses
}

// decodedAddresses returns the version of the list in a snapshot, and its addresses by server.
func decodedAddresses(t *rapid.T, s replication.Snapshot) (version uint64, addresses map[string]string) {
	a, encoded, err := decodeList(s)
	if err != nil {
		t.Fatalf("%+v, %v", a, err)
	}
	var list encodedList
	if err := json.Unmarshal(encoded, &list); err != nil {
		t.Fatal(err)
	}
	addresses = map[string]string{}
	for _, m := range list.Members {
		var server listedServer
		_ = json.Unmarshal(m, &server)
		addresses[server.ID] = server.HostPort
	}
	return announcementVersion(a), addresses
}

// publications holds the lists that several leaders have published in turn, and those that a distributor has recorded.
type publications struct {
	leaders     []*serverListReplica
	distributor replication.History
	recorded    []replication.Snapshot       // snapshots of the distributor
	addresses   map[uint64]map[string]string // by version, then server
}

// publish makes a leader publish a random list. Some of the other leaders receive it, and the distributor may record it.
func (p *publications) publish(t *rapid.T, leader int, a discoveryleader.Announcement) {
	encoded, addresses := drawList(t, a.Sequence)
	if err := p.leaders[leader].publish(a, encoded); err != nil {
		t.Fatal(err)
	}
	published := p.leaders[leader].replica.Snapshot()
	p.addresses[published.Version] = addresses
	for i, other := range p.leaders {
		if i != leader && rapid.Bool().Draw(t, "received") {
			other.replica.Install(published)
		}
	}
	if rapid.Bool().Draw(t, "recorded") {
		p.distributor.Record(published)
		p.recorded = append(p.recorded, p.distributor.Snapshot())
	}
}

// checkDelta checks that the distributor's delta turns an old list into the newest one.
func (p *publications) checkDelta(t *rapid.T, old, newest replication.Snapshot) {
	delta, ok := p.distributor.DeltaSince(old.Version)
	if !ok {
		t.Fatalf("no delta since %d, which was recorded", old.Version)
	}
	got, ok := delta.ApplyTo(old)
	if !ok {
		t.Fatalf("delta %+v does not apply to version %d", delta, old.Version)
	}
	version, addresses := decodedAddresses(t, got)
	if version != newest.Version {
		t.Fatalf("from %d: version %d, want %d", old.Version, version, newest.Version)
	}
	if want := p.addresses[newest.Version]; !reflect.DeepEqual(addresses, want) {
		t.Fatalf("from %d: %v, want %v", old.Version, addresses, want)
	}
}

// Leaders may miss lists that other leaders have published. A pooler with any list that a distributor has recorded still gets
// exactly the newest list by applying the distributor's delta.
func TestListsOfManyLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &publications{
			leaders:     []*serverListReplica{newServerListReplica(), newServerListReplica(), newServerListReplica()},
			distributor: replication.History{FullReplacement: true},
			addresses:   map[uint64]map[string]string{},
		}
		a := discoveryleader.Announcement{Token: 5}
		leader := 0
		for range rapid.IntRange(1, 25).Draw(t, "lists") {
			if rapid.IntRange(0, 3).Draw(t, "another leader") == 0 {
				leader = rapid.IntRange(0, 2).Draw(t, "leader")
				a = discoveryleader.Announcement{Token: a.Token + 7}
			}
			a.Sequence++
			a.Holder = fmt.Sprint("h", leader)
			p.publish(t, leader, a)
		}
		if len(p.recorded) == 0 {
			return
		}
		last := len(p.recorded) - 1
		newest := p.recorded[last]
		for _, old := range p.recorded[:last] {
			p.checkDelta(t, old, newest)
		}
		if _, ok := p.distributor.DeltaSince(newest.Version - 1); ok && p.recorded[max(last-1, 0)].Version != newest.Version-1 {
			t.Errorf("got a delta since a version that was not recorded")
		}
	})
}

// A malformed list is not published, and a snapshot whose header is missing or does not match its version is not decoded.
func TestMalformedLists(t *testing.T) {
	l := newServerListReplica()
	for _, encoded := range []string{"", "{", `{"members":[{"host_port":"a"}]}`, `{"members":[3]}`} {
		if err := l.publish(discoveryleader.Announcement{Token: 1, Sequence: 1}, []byte(encoded)); err == nil || l.replica.Version() > 0 {
			t.Errorf("%q: %v, version %d", encoded, err, l.replica.Version())
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
		t.Error("a list whose version does not match its announcement was decoded")
	}
	if _, _, err := decodeList(replication.Snapshot{Version: 3}); err == nil {
		t.Error("a list without a header was decoded")
	}
}
