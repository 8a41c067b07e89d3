package scalepooler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// list is a list service that tells its watches words as they are given, whole lists and changes alike, which the stand-in's
// can't: it tells the whole list each time.
type list struct {
	*httptest.Server
	mu    sync.Mutex
	words [][]byte // by revision, from 1 on
	more  chan struct{}
}

// word is one line of a list service.
type word struct {
	Revision int     `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []entry `json:"members"`
}

func newList() *list {
	l := &list{more: make(chan struct{})}
	l.Server = httptest.NewServer(http.HandlerFunc(l.serve))
	return l
}

func (l *list) addr() string { return strings.TrimPrefix(l.URL, "http://") }

// end ends its watches and itself.
func (l *list) end() {
	l.CloseClientConnections()
	l.Close()
}

// tell says a word and gives its bytes.
func (l *list) tell(complete bool, members []entry) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, err := json.Marshal(word{len(l.words) + 1, complete, members})
	if err != nil {
		panic(err) // of numbers and strings
	}
	l.words = append(l.words, append(text, '\n'))
	close(l.more)
	l.more = make(chan struct{})
	return len(text)
}

func (l *list) serve(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	for {
		l.mu.Lock()
		words, more := l.words[min(since, len(l.words)):], l.more
		l.mu.Unlock()
		for _, text := range words {
			_, _ = w.Write(text)
		}
		since += len(words)
		w.(http.Flusher).Flush()
		select {
		case <-more:
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
