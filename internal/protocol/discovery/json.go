package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/policy"
)

// phases are the list service's names for a member's state.
var phases = map[string]policy.MemberState{
	"Ready":       policy.Ready,
	"Terminating": policy.Draining,
	"Gone":        policy.Removed,
}

// phaseNames are the names by state.
var phaseNames = map[policy.MemberState]string{
	policy.Ready:    "Ready",
	policy.Draining: "Terminating",
	policy.Removed:  "Gone",
}

// primaryRecovery is a member's "recovery" if it is primary.
const primaryRecovery = "off"

const maxGroup = 1 << 16

// listForm is the form of a list as it is read. Keys match without regard to case; errors name them as the tags do.
type listForm struct {
	Revision uint64       `json:"Revision"`
	Complete bool         `json:"Complete"`
	Members  []memberForm `json:"Members"`
}

type memberForm struct {
	ID        string  `json:"ID"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"Locality"`
	Cell      int     `json:"Cell"`
	Phase     string  `json:"Phase"`
	Recovery  string  `json:"Recovery"`
	UpSinceMS float64 `json:"up_since_ms"`
}

// ParseList reads one list. An error names the key.
func ParseList(text []byte) (List, error) {
	var form listForm
	if err := json.Unmarshal(text, &form); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) && mismatch.Field != "" {
			return List{}, fmt.Errorf("%s: a %s does not fit", mismatch.Field, mismatch.Value)
		}
		return List{}, err
	}
	list := List{Revision: form.Revision, Complete: form.Complete, Members: make([]Member, 0, len(form.Members))}
	for i, m := range form.Members {
		member, err := m.member(fmt.Sprintf("members[%d]", i))
		if err != nil {
			return List{}, err
		}
		list.Members = append(list.Members, member)
	}
	return list, nil
}

// member returns the member at a key.
func (f memberForm) member(key string) (Member, error) {
	state, err := jsonfile.EnumValue(key+".phase", f.Phase, phases)
	if err != nil {
		return Member{}, err
	}
	if f.ID == "" || f.HostPort == "" && state != policy.Removed {
		return Member{}, fmt.Errorf("%s: id or host_port is missing", key)
	}
	if f.Cell < 0 || f.Cell > maxGroup {
		return Member{}, fmt.Errorf("%s.cell: %d is out of range", key, f.Cell)
	}
	return Member{
		Name:    f.ID,
		Addr:    f.HostPort,
		Zone:    f.Locality,
		Group:   f.Cell,
		State:   state,
		Primary: f.Recovery == primaryRecovery,
		Started: time.Duration(f.UpSinceMS * float64(time.Millisecond)),
	}, nil
}

// writtenList is the form of a list as it is written.
type writtenList struct {
	Revision uint64          `json:"revision"`
	Complete bool            `json:"complete"`
	Members  []writtenMember `json:"members"`
}

type writtenMember struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Recovery string  `json:"recovery,omitempty"`
	UpSince  float64 `json:"up_since_ms"`
}

// Format returns the list in the list service's form, which ParseList reads.
func (l List) Format() []byte {
	out := writtenList{Revision: l.Revision, Complete: l.Complete, Members: make([]writtenMember, 0, len(l.Members))}
	for _, m := range l.Members {
		member := writtenMember{
			ID:       m.Name,
			HostPort: m.Addr,
			Locality: m.Zone,
			Cell:     m.Group,
			Phase:    phaseNames[m.State],
			UpSince:  float64(m.Started.Round(time.Millisecond) / time.Millisecond),
		}
		if m.Primary {
			member.Recovery = primaryRecovery
		}
		out.Members = append(out.Members, member)
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // strings and numbers
	}
	return text
}
