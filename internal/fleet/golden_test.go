package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/goldentest"
)

// sentMessage is one message passed to the network.
type sentMessage struct{ method, to, encoded string }

// recorder is a network that records the messages passed to it.
type recorder chan sentMessage

func (recorder) Bus() bus.Bus { return nil }
func (r recorder) Broadcast(topic string, encoded []byte, _ time.Time) bool {
	r <- sentMessage{"tell", topic, string(encoded)}
	return true
}
func (r recorder) Send(name string, encoded []byte) error {
	r <- sentMessage{"send", name, string(encoded)}
	return nil
}
func (r recorder) SendBestEffort(name string, encoded []byte) {
	r <- sentMessage{"hint", name, string(encoded)}
}
func (recorder) SetStatus(discoveryleader.Announcement, string, string) {}
func (recorder) ListSource(a discoveryleader.Announcement) (name string, needed bool) {
	return a.Source, true
}
func (recorder) replicationBus() bus.Bus         { return nil }
func (recorder) fillStatus(*coordination.Status) {}
func (recorder) Close()                          {}

// The encoding of each kind of message is unchanged, and messages of earlier builds are decoded: poolers of different builds
// run in one fleet.
func TestMessageForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "message.json", goldentest.Filled[message](t))

	network := make(recorder, 1)
	coordinator := &Coordinator{
		config:        &config.Fleet{Name: "pooler-1"},
		network:       network,
		broadcasts:    newBroadcastQueue(network),
		listTransfers: make(chan struct{}, 1),
		components:    &componentHost{},
		log:           zerolog.Nop(),
	}
	shutdown := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { coordinator.broadcasts.run(shutdown) })
	defer sender.Wait()
	defer close(shutdown)
	coordinator.minimumVersion.Store(&discoveryleader.MinimumVersion{Build: "1.4", ConfigRevision: 6})
	announcement := discoveryleader.Announcement{Token: 7, Sequence: 3, Holder: "pooler-1/1-2", Source: "pooler-1"}
	list := []byte(`{"revision":5,"complete":true,"members":[]}`)
	var sentLines strings.Builder
	for _, send := range []func(){
		func() { coordinator.Announce(announcement, time.Minute, func(bool) {}) },
		func() {
			coordinator.AnnouncePrimary(7, 4, "db-2", 8*time.Second, time.Minute, func(bool) {})
		},
		func() { coordinator.ReportPrimaryDown("pooler-2", 4) },
		func() { coordinator.FetchList(discoveryleader.Announcement{Token: 7, Sequence: 3, Source: "pooler-2"}) },
		func() { coordinator.SendList("pooler-3", announcement, list) },
	} {
		send()
		recorded := <-network
		fmt.Fprintln(&sentLines, recorded.method, recorded.to, recorded.encoded)
	}

	var got []any
	events := coordination.Events{
		Announced: func(announcement discoveryleader.Announcement, minimum discoveryleader.MinimumVersion) {
			got = append(got, "word", announcement, minimum)
		},
		ListRequested: func(from string) { got = append(got, "wanted", from) },
		ListReceived: func(announcement discoveryleader.Announcement, list []byte) {
			got = append(got, "list", announcement, string(list))
		},
		PrimaryReportedDown: func(group int) { got = append(got, "lost", group) },
		PrimaryAnnounced: func(token uint64, group int, server string, asOf time.Duration) {
			got = append(got, "found", token, group, server, asOf)
		},
	}
	coordinator.events = events
	for _, line := range bytes.Split(bytes.TrimSpace(goldentest.Check(t, "messages.txt", []byte(sentLines.String()))), []byte("\n")) {
		coordinator.dispatch(bytes.SplitN(line, []byte(" "), 3)[2])
	}
	want := []any{"word", announcement, discoveryleader.MinimumVersion{Build: "1.4", ConfigRevision: 6}, "found", uint64(7), 4, "db-2", 8 * time.Second, "lost", 4, "wanted", "pooler-1", "list", announcement, string(list)}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got the events\n%v, want\n%v", got, want)
	}
}

func TestNames(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"shared": documentsResource, "lists": serverListResource, "duty/": leaderTopicPrefix, "duty/one": directTopic, "head": headerKey, "server/": serverKeyPrefix})
}

// The documents of a list on the streams are unchanged: poolers of other builds decode the list from them.
func TestListDocuments(t *testing.T) {
	goldentest.CheckJSONOf(t, "head.json", goldentest.Filled[listHeader](t))
	goldentest.CheckJSONOf(t, "list.json", goldentest.Filled[encodedList](t))

	announcement := discoveryleader.Announcement{Token: 7, Sequence: 3, Holder: "pooler-1/1-2", Source: "pooler-1"}
	list := `{"revision":5,"complete":true,"members":[{"id":"db-1","zone":"a"},{"id":"db-2","zone":"b"}]}`
	publisher := newServerListReplica()
	if err := publisher.publish(announcement, []byte(list)); err != nil {
		t.Fatal(err)
	}
	state, err := json.Marshal(publisher.replica.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var stored replication.Snapshot
	if err := json.Unmarshal(goldentest.Check(t, "list_documents.json", append(state, '\n')), &stored); err != nil {
		t.Fatal(err)
	}
	if decoded, encoded, err := decodeList(stored); err != nil || decoded != announcement || string(encoded) != list {
		t.Errorf("got %+v, %s, %v, want %+v, %s", decoded, encoded, err, announcement, list)
	}
}
