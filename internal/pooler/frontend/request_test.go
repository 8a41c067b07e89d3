package frontend

import (
	"errors"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/protocol/comment"
)

// noServers is a backend without servers.
type noServers struct{}

func (noServers) Send(string, any, time.Duration, dispatch.AttemptCallbacks) dispatch.Call {
	return nil
}
func (noServers) Probe(string, func(dispatch.AttemptResult)) dispatch.Call { return nil }
func (noServers) CloseIdle(string)                                         {}

// newClients returns the clients of a frontend whose only class is "any", with servers of group 1.
func newClients(t *testing.T) *Clients {
	t.Helper()
	loop := dispatch.NewEventLoop()
	dispatcher, err := dispatch.New(loop, noServers{}, dispatch.Options{
		Settings: policy.Settings{MaxAttempts: 1, Classes: []policy.Class{{Name: "any", TotalTimeout: time.Minute, PriorityWeight: 1}}},
		MaxOpen:  9, ProbeTimeout: time.Minute, Watch: func() {}, Log: func(string) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.ApplyList(policy.ListFull, []dispatch.Member{{Name: "p", Address: "127.0.0.1:1", Group: 1, State: policy.Ready}})
	return NewClients(dispatcher, connlimit.New(loop, 9, 1<<20))
}

// A comment names a class and a group that are known, or the client is told which is not: the class first.
func TestClass(t *testing.T) {
	clients := newClients(t)
	for name, c := range map[string]struct {
		comment comment.Comment
		want    error
	}{
		"known":            {comment.Comment{Class: "any", Group: 1}, nil},
		"unknown class":    {comment.Comment{Class: "other", Group: 1}, ErrUnknownClass},
		"unknown group":    {comment.Comment{Class: "any", Group: 2}, ErrUnknownGroup},
		"no group":         {comment.Comment{Class: "any", Group: -1}, ErrUnknownGroup},
		"neither is known": {comment.Comment{Class: "other", Group: -1}, ErrUnknownClass},
	} {
		_, info, err := clients.Class(c.comment)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
		if err == nil && info.TotalTimeout != time.Minute {
			t.Errorf("%s: got the timeout %v of another class", name, info.TotalTimeout)
		}
	}
}

// A request's ID is its own while it is in flight; requests without an ID never meet.
func TestRequestID(t *testing.T) {
	clients := newClients(t)
	clients.BeginRequest("a")
	clients.BeginRequest("")
	if err := clients.CheckRequestID("a"); !errors.Is(err, ErrRequestIDOpen) {
		t.Errorf("an ID in flight: got %v", err)
	}
	for _, id := range []string{"b", ""} {
		if err := clients.CheckRequestID(id); err != nil {
			t.Errorf("ID %q: got %v", id, err)
		}
	}
	clients.EndRequest("a")
	if err := clients.CheckRequestID("a"); err != nil {
		t.Errorf("an ID whose request has ended: got %v", err)
	}
}

// A request waits for as long as its comment says, or else its class.
func TestNewRequestTimeout(t *testing.T) {
	info := policy.Class{TotalTimeout: time.Minute}
	if r := NewRequest(0, info, comment.Comment{Patience: time.Second}, 0); r.Timeout != time.Second {
		t.Errorf("got %v, want the comment's second", r.Timeout)
	}
	if r := NewRequest(0, info, comment.Comment{}, 0); r.Timeout != time.Minute {
		t.Errorf("got %v, want the class's minute", r.Timeout)
	}
}
