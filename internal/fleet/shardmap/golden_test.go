package shardmap

import (
	"testing"

	"threadsail/internal/goldentest"
)

// Stored documents and orders keep the encoding that earlier versions wrote.
func TestStoredForms(t *testing.T) {
	full := goldentest.Filled[Document](t)
	goldentest.CheckJSONOf(t, "document.json", full)
	goldentest.Check(t, "document.json", full.encode())
	goldentest.CheckJSONOf(t, "order.json", goldentest.Filled[Order](t))
}

// Messages keep the encoding that poolers and copiers of other versions use.
func TestMessageForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "ask.json", goldentest.Filled[Request](t))
	goldentest.CheckJSONOf(t, "grant.json", goldentest.Filled[Grant](t))
	goldentest.CheckJSONOf(t, "instruction.json", goldentest.Filled[Instruction](t))
}

// Names that leave the process keep their values.
func TestNames(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"shards/map": MapKey, "shards/router/": RouterPrefix, "shards/order/": OrderPrefix, "shards/moves": string(LeaseName),
		"shards/ask": topicRequest, "shards/grant": topicGrant,
		"prepared": string(Prepared), "copying": string(Copying), "fenced": string(Fenced), "switched": string(Switched), "done": string(Done), "undone": string(Undone),
		"": string(ActNone), "copy": string(ActCopy), "fence": string(ActFence), "finish": string(ActFinish), "close": string(ActClose)})
}
