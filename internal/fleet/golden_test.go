package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/duty"
	"threadsail/internal/fleet/goldentest"
	"threadsail/internal/fleet/shared"
	"threadsail/internal/program"
	"threadsail/internal/program/admin"
)

// sent is one message as it was handed to the network.
type sent struct{ way, to, text string }

// recorder is a network that keeps what it is given.
type recorder chan sent

func (recorder) Bus() bus.Bus { return nil }
func (r recorder) Tell(topic string, text []byte, _ time.Time) bool {
	r <- sent{"tell", topic, string(text)}
	return true
}
func (r recorder) Send(name string, text []byte) error {
	r <- sent{"send", name, string(text)}
	return nil
}
func (r recorder) Hint(name string, text []byte)            { r <- sent{"hint", name, string(text)} }
func (recorder) Show(duty.Word, string, string)             {}
func (recorder) Source(w duty.Word) (name string, ask bool) { return w.Source, true }
func (recorder) figures(*admin.Fleet)                       {}
func (recorder) Close()                                     {}

// Each kind of message that poolers say to each other goes out as it always did, and is understood as it always was.
func TestMessageForms(t *testing.T) {
	goldentest.JSON(t, "message.json", goldentest.Filled[message](t))

	network := make(recorder, 1)
	f := &Fleet{c: &config.Fleet{Name: "pooler-1"}, network: network, words: make(chan func(), 1), giving: make(chan struct{}, 1), ground: &ground{}, log: zerolog.Nop()}
	f.least.Store(&duty.Least{Build: "1.4", Config: 6})
	w := duty.Word{Token: 7, Seq: 3, Holder: "pooler-1/1-2", Source: "pooler-1"}
	list := []byte(`{"revision":5,"complete":true,"members":[]}`)
	var log strings.Builder
	for _, send := range []func(){
		func() { f.Tell(w, time.Minute, func(bool) {}); (<-f.words)() },
		func() { f.TellFound(7, 4, "db-2", 8*time.Second, time.Minute, func(bool) {}); (<-f.words)() },
		func() { f.Report("pooler-2", 4) },
		func() { f.Fetch(duty.Word{Token: 7, Seq: 3, Source: "pooler-2"}) },
		func() { f.Give("pooler-3", w, list) },
	} {
		send()
		s := <-network
		fmt.Fprintln(&log, s.way, s.to, s.text)
	}

	var got []any
	events := program.FleetEvents{
		Word:   func(w duty.Word, least duty.Least) { got = append(got, "word", w, least) },
		Wanted: func(from string) { got = append(got, "wanted", from) },
		List:   func(w duty.Word, list []byte) { got = append(got, "list", w, string(list)) },
		Lost:   func(group int) { got = append(got, "lost", group) },
		Found: func(token uint64, group int, server string, asOf time.Duration) {
			got = append(got, "found", token, group, server, asOf)
		},
	}
	for _, line := range bytes.Split(bytes.TrimSpace(goldentest.Bytes(t, "messages.txt", []byte(log.String()))), []byte("\n")) {
		f.heard(bytes.SplitN(line, []byte(" "), 3)[2], events)
	}
	want := []any{"word", w, duty.Least{Build: "1.4", Config: 6}, "found", uint64(7), 4, "db-2", 8 * time.Second, "lost", 4, "wanted", "pooler-1", "list", w, string(list)}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got the events\n%v, want\n%v", got, want)
	}
}

func TestNames(t *testing.T) {
	goldentest.Names(t, map[string]string{"shared": sharedFeed, "lists": listsFeed, "duty/": topicDuty, "duty/one": topicOther, "head": headDoc, "server/": serverDoc})
}

// A list goes over the streams as documents, which poolers of other builds put together again.
func TestListDocuments(t *testing.T) {
	goldentest.JSON(t, "head.json", goldentest.Filled[head](t))
	goldentest.JSON(t, "list.json", goldentest.Filled[listText](t))

	w := duty.Word{Token: 7, Seq: 3, Holder: "pooler-1/1-2", Source: "pooler-1"}
	list := `{"revision":5,"complete":true,"members":[{"id":"db-1","zone":"a"},{"id":"db-2","zone":"b"}]}`
	holder := newLists()
	if err := holder.hand(w, []byte(list)); err != nil {
		t.Fatal(err)
	}
	state, err := json.Marshal(holder.copy.State())
	if err != nil {
		t.Fatal(err)
	}
	var stored shared.State
	if err := json.Unmarshal(goldentest.Bytes(t, "list_documents.json", append(state, '\n')), &stored); err != nil {
		t.Fatal(err)
	}
	if word, text, err := listOf(stored); err != nil || word != w || string(text) != list {
		t.Errorf("got %+v, %s, %v, want %+v, %s", word, text, err, w, list)
	}
}
