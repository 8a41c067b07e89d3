package policy

import (
	"strings"
	"testing"
)

func TestValidateNamesTheField(t *testing.T) {
	for _, c := range []struct {
		change func(*Settings)
		want   string
	}{
		{func(s *Settings) { s.EventInterval = -1 }, "EventInterval is -1ns"},
		{func(s *Settings) { s.SlowStartCapacity = 1.5 }, "SlowStartCapacity is 1.5"},
		{func(s *Settings) { s.Poolers = -2 }, "Poolers is -2"},
		{func(s *Settings) { s.Classes[0].Access = 77 }, "Access 77"},
		{func(s *Settings) { s.Classes[0].LatencyObjective = -ms }, "LatencyObjective -1ms"},
	} {
		t.Run(c.want, func(t *testing.T) {
			settings := testSettings()
			c.change(&settings)
			_, err := New(settings, 1, discardActions{})
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("New returned error %v, want one that contains %q", err, c.want)
			}
		})
	}
	if _, err := New(Settings{}, 1, discardActions{}); err != nil {
		t.Errorf("empty settings: %v", err)
	}
}
