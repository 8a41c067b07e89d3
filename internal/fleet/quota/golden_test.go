package quota

import (
	"encoding/json"
	"testing"

	"threadsail/internal/config"
	"threadsail/internal/goldentest"
)

func TestMessageFormat(t *testing.T) {
	goldentest.CheckJSONOf(t, "ask.json", goldentest.Filled[Request](t))
	goldentest.CheckJSONOf(t, "grant.json", goldentest.Filled[Grant](t))
}

func TestNames(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"quota": string(LeaseName), "limits/set": Document, "quota/holder": topicLeader, "quota/ask": topicRequest,
		"quota/grant": topicGrant, "requests": string(config.LimitRequests), "connections": string(config.LimitConnections), "cold": string(config.LimitCold),
		"probes": string(config.LimitProbes)})
}

// The set of limits is a shared document that may have been written by any earlier or later build.
func TestStoredLimits(t *testing.T) {
	set := config.Limits{Revision: 3, List: []config.Limit{{Name: "writes", Target: config.LimitRequests, Class: "write", Tenants: true, Rate: 250.5,
		Burst: 20, Reserve: 0.5}}}
	goldentest.CheckJSONOf(t, "limits.json", set)
	text, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	read, err := config.ParseLimits(goldentest.Check(t, "limits.json", append(text, '\n')))
	if err != nil || read.Revision != 3 || len(read.List) != 1 || read.List[0] != set.List[0] {
		t.Errorf("got %+v, %v, want %+v", read, err, set)
	}
}
