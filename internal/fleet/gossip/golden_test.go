package gossip

import (
	"testing"

	"threadsail/internal/goldentest"
)

// The encodings of the meta and of a message of the bus are stable: poolers of different builds exchange them.
func TestMessageForms(t *testing.T) {
	full := goldentest.Filled[Meta](t)
	goldentest.CheckJSONOf(t, "meta.json", full)
	member := &Node{meta: full}
	goldentest.Check(t, "meta.json", append((*delegate)(member).NodeMeta(512), '\n'))

	encoded, err := encodeMessage("pooler-1", "quota/ask", []byte(`{"number":3}`))
	if err != nil {
		t.Fatal(err)
	}
	from, topic, body, err := decodeMessage(goldentest.Check(t, "bus_message", encoded))
	if err != nil || from != "pooler-1" || topic != "quota/ask" || string(body) != `{"number":3}` {
		t.Errorf("got %q, %q, %q, %v", from, topic, body, err)
	}
}

// The traffic kind of a message of the leader depends on the first bytes of its JSON, so the encoding must keep them.
func TestMessageKinds(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"duty/word": leaderMessageKinds[`{"kind":"word"`], "duty/want": leaderMessageKinds[`{"kind":"want"`],
		"duty/list": leaderMessageKinds[`{"kind":"list"`], "duty/lost": leaderMessageKinds[`{"kind":"lost"`], "duty/found": leaderMessageKinds[`{"kind":"found"`]})
}
