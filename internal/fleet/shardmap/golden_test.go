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
	goldentest.JSON(t, "ask.json", goldentest.Filled[Ask](t))
	goldentest.JSON(t, "grant.json", goldentest.Filled[Grant](t))
	goldentest.JSON(t, "instruction.json", goldentest.Filled[Instruction](t))
}

func TestNames(t *testing.T) {
	goldentest.Names(t, map[string]string{"shards/map": Key, "shards/router/": Routers, "shards/order/": Orders, "shards/moves": string(Duty),
		"shards/ask": topicAsk, "shards/grant": topicGrant,
		"prepared": string(Prepared), "copying": string(Copying), "fenced": string(Fenced), "switched": string(Switched), "done": string(Done), "undone": string(Undone),
		"": string(None), "copy": string(Copy), "fence": string(Fence), "finish": string(Finish), "close": string(Close)})
}
