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

// sent is one message as it was handed to the network.
type sent struct{ way, to, text string }

// recorder is a network that keeps what it is given.
type recorder chan sent

func (recorder) Bus() bus.Bus { return nil }
func (r recorder) Broadcast(topic string, text []byte, _ time.Time) bool {
	r <- sent{"tell", topic, string(text)}
	return true
}
func (r recorder) Send(name string, text []byte) error {
	r <- sent{"send", name, string(text)}
	return nil
}
func (r recorder) SendBestEffort(name string, text []byte)              { r <- sent{"hint", name, string(text)} }
func (recorder) SetStatus(discoveryleader.Announcement, string, string) {}
func (recorder) ListSource(w discoveryleader.Announcement) (name string, ask bool) {
	return w.Source, true
}
func (recorder) replicationBus() bus.Bus         { return nil }
func (recorder) fillStatus(*coordination.Status) {}
func (recorder) Close()                          {}

// Each kind of message that poolers say to each other goes out as it always did, and is understood as it always was.
func TestMessageForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "message.json", goldentest.Filled[message](t))

	network := make(recorder, 1)
	f := &Coordinator{
		config:        &config.Fleet{Name: "pooler-1"},
		network:       network,
		broadcasts:    newBroadcastQueue(network),
		listTransfers: make(chan struct{}, 1),
		components:    &componentHost{},
		log:           zerolog.Nop(),
	}
	shutdown := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { f.broadcasts.run(shutdown) })
	defer sender.Wait()
	defer close(shutdown)
	f.minimumVersion.Store(&discoveryleader.MinimumVersion{Build: "1.4", ConfigRevision: 6})
	w := discoveryleader.Announcement{Token: 7, Sequence: 3, Holder: "pooler-1/1-2", Source: "pooler-1"}
	list := []byte(`{"revision":5,"complete":true,"members":[]}`)
	var log strings.Builder
	for _, send := range []func(){
		func() { f.Announce(w, time.Minute, func(bool) {}) },
		func() {
			f.AnnouncePrimary(7, 4, "db-2", 8*time.Second, time.Minute, func(bool) {})
		},
		func() { f.ReportPrimaryDown("pooler-2", 4) },
		func() { f.FetchList(discoveryleader.Announcement{Token: 7, Sequence: 3, Source: "pooler-2"}) },
		func() { f.SendList("pooler-3", w, list) },
	} {
		send()
		s := <-network
		fmt.Fprintln(&log, s.way, s.to, s.text)
	}

	var got []any
	events := coordination.Events{
		Announced: func(w discoveryleader.Announcement, least discoveryleader.MinimumVersion) {
			got = append(got, "word", w, least)
		},
		ListRequested:       func(from string) { got = append(got, "wanted", from) },
		ListReceived:        func(w discoveryleader.Announcement, list []byte) { got = append(got, "list", w, string(list)) },
		PrimaryReportedDown: func(group int) { got = append(got, "lost", group) },
		PrimaryAnnounced: func(token uint64, group int, server string, asOf time.Duration) {
			got = append(got, "found", token, group, server, asOf)
		},
	}
	f.events = events
	for _, line := range bytes.Split(bytes.TrimSpace(goldentest.Check(t, "messages.txt", []byte(log.String()))), []byte("\n")) {
		f.dispatch(bytes.SplitN(line, []byte(" "), 3)[2])
	}
	want := []any{"word", w, discoveryleader.MinimumVersion{Build: "1.4", ConfigRevision: 6}, "found", uint64(7), 4, "db-2", 8 * time.Second, "lost", 4, "wanted", "pooler-1", "list", w, string(list)}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got the events\n%v, want\n%v", got, want)
	}
}

func TestNames(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"shared": documentsFeed, "lists": serverListFeed, "duty/": leaderTopicPrefix, "duty/one": directTopic, "head": headerKey, "server/": serverKeyPrefix})
}

// A list goes over the streams as documents, which poolers of other builds put together again.
func TestListDocuments(t *testing.T) {
	goldentest.CheckJSONOf(t, "head.json", goldentest.Filled[listHeader](t))
	goldentest.CheckJSONOf(t, "list.json", goldentest.Filled[encodedList](t))

	w := discoveryleader.Announcement{Token: 7, Sequence: 3, Holder: "pooler-1/1-2", Source: "pooler-1"}
	list := `{"revision":5,"complete":true,"members":[{"id":"db-1","zone":"a"},{"id":"db-2","zone":"b"}]}`
	holder := newServerListReplica()
	if err := holder.publish(w, []byte(list)); err != nil {
		t.Fatal(err)
	}
	state, err := json.Marshal(holder.replica.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var stored replication.Snapshot
	if err := json.Unmarshal(goldentest.Check(t, "list_documents.json", append(state, '\n')), &stored); err != nil {
		t.Fatal(err)
	}
	if word, text, err := decodeList(stored); err != nil || word != w || string(text) != list {
		t.Errorf("got %+v, %s, %v, want %+v, %s", word, text, err, w, list)
	}
}
