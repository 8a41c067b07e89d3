package distribution

import (
	"strings"
	"sync"
)

// handlers holds the message handlers by topic. The zero value is ready for use. It is safe for concurrent use.
type handlers struct {
	mu      sync.Mutex // guards byTopic
	byTopic map[string]func(from string, body []byte)
}

// Handle implements bus.Bus. A topic that ends in its first slash is a prefix: its handler receives the messages of all topics
// that begin with it and have no handler of their own.
func (h *handlers) Handle(topic string, handler func(from string, body []byte)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byTopic == nil {
		h.byTopic = map[string]func(string, []byte){}
	}
	h.byTopic[topic] = handler
}

// dispatch calls the handler of a message's topic. A message without a handler is dropped.
func (h *handlers) dispatch(from, topic string, body []byte) {
	if handler := h.find(topic); handler != nil {
		handler(from, body)
	}
}

// find returns the handler of a topic, else that of its prefix up to and including the first slash, or nil if neither has one.
func (h *handlers) find(topic string) func(from string, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if handler := h.byTopic[topic]; handler != nil {
		return handler
	}
	prefix, _, found := strings.Cut(topic, "/")
	if !found {
		return nil
	}
	return h.byTopic[prefix+"/"]
}
