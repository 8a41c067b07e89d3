package frontend

// Input is what a client has sent and its session has not processed yet. The zero value is empty.
type Input struct {
	buffer   []byte
	start    int // of the bytes that are not processed, in buffer
	expected int // size of the first message, for which room is made at once; 0: not known
	shed     int // bytes of the first message that are still to be discarded
	shedding bool
	head     []byte // kept of the message that is discarded
	headSize int    // bytes to be kept of it
}

// Append adds received bytes. Those of a message that is shed are discarded.
func (in *Input) Append(received []byte) {
	discarded := min(in.shed, len(received))
	in.keepHead(received[:discarded])
	in.shed -= discarded
	received = received[discarded:]
	if len(received) == 0 {
		return
	}
	if free := cap(in.buffer) - len(in.buffer); free < len(received) {
		buffer := make([]byte, in.Len(), max(in.Len()+len(received), in.expected))
		copy(buffer, in.Bytes())
		in.buffer = buffer
		in.start = 0
	}
	in.buffer = append(in.buffer, received...)
}

// Bytes returns the bytes that are not processed. They are valid until the next call of Append or Consume.
func (in *Input) Bytes() []byte { return in.buffer[in.start:] }

// Len returns the number of bytes that are not processed.
func (in *Input) Len() int { return len(in.buffer) - in.start }

// Size returns the bytes that the input takes, or will take once the message that has begun is complete.
func (in *Input) Size() int { return max(in.Len(), in.expected) + in.headSize }

// Consume removes the first n bytes. An empty input takes no memory, as most clients are idle.
func (in *Input) Consume(n int) {
	in.start += n
	in.expected = 0
	if in.Len() == 0 {
		in.buffer = nil
		in.start = 0
	}
}

// Expect makes room for a first message of the given size.
func (in *Input) Expect(size int) { in.expected = size }

// Incomplete reports whether a message has begun that is expected to be longer than what has arrived of it.
func (in *Input) Incomplete() bool { return in.expected > in.Len() }

// Shed discards a first message of the given size: what has arrived of it, and the rest as it arrives. It keeps the first headSize
// bytes, for ShedComplete.
func (in *Input) Shed(size, headSize int) {
	in.headSize = headSize
	discarded := min(size, in.Len())
	in.keepHead(in.Bytes()[:discarded])
	in.Consume(discarded)
	in.shed = size - discarded
	in.shedding = true
}

// keepHead keeps what is missing of the head from bytes that are discarded.
func (in *Input) keepHead(discarded []byte) {
	missing := in.headSize - len(in.head)
	in.head = append(in.head, discarded[:min(missing, len(discarded))]...)
}

// Shedding reports whether a message is being discarded that has not arrived completely.
func (in *Input) Shedding() bool { return in.shed > 0 }

// ShedComplete reports, once, that a message has been discarded completely: its sender is owed an answer. It returns the bytes that were
// kept of the message.
func (in *Input) ShedComplete() (head []byte, complete bool) {
	if !in.shedding || in.shed > 0 {
		return nil, false
	}
	head = in.head
	in.shedding = false
	in.head = nil
	in.headSize = 0
	return head, true
}
