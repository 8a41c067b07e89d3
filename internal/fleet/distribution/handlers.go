package distribution

import (
	"strings"
	"sync"
)

// handlers are the receivers of messages by topic.
type handlers struct {
	mu      sync.Mutex // guards byTopic
	byTopic map[string]func(from string, body []byte)
}

// Handle is documented with bus.Bus. A topic that ends in a slash stands for all that begin with it and have no handler of their own.
func (h *handlers) Handle(topic string, handler func(from string, body []byte)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byTopic == nil {
		h.byTopic = map[string]func(string, []byte){}
	}
	h.byTopic[topic] = handler
}

// dispatch calls the handler of a message's topic. A message without one has no effect.
func (h *handlers) dispatch(from, topic string, body []byte) {
	if handler := h.find(topic); handler != nil {
		handler(from, body)
	}
}

// find returns the handler of a topic, or of the prefix up to its first slash; nil: neither has one.
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
