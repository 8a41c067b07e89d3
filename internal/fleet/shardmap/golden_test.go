package shardmap

import (
	"testing"

	"threadsail/internal/fleet/goldentest"
)

func TestStoredForms(t *testing.T) {
	full := goldentest.Filled[Document](t)
	goldentest.JSON(t, "document.json", full)
	goldentest.Bytes(t, "document.json", full.encode())
	goldentest.JSON(t, "order.json", goldentest.Filled[Order](t))
}

func TestMessageForms(t *testing.T) {
	goldentest.JSON(t, "ask.json", goldentest.Filled[Request](t))
	goldentest.JSON(t, "grant.json", goldentest.Filled[Grant](t))
	goldentest.JSON(t, "instruction.json", goldentest.Filled[Instruction](t))
}

func TestNames(t *testing.T) {
	goldentest.Names(t, map[string]string{"shards/map": MapKey, "shards/router/": RouterPrefix, "shards/order/": OrderPrefix, "shards/moves": string(LeaseName),
		"shards/ask": topicRequest, "shards/grant": topicGrant,
		"prepared": string(Prepared), "copying": string(Copying), "fenced": string(Fenced), "switched": string(Switched), "done": string(Done), "undone": string(Undone),
		"": string(ActNone), "copy": string(ActCopy), "fence": string(ActFence), "finish": string(ActFinish), "close": string(ActClose)})
}
