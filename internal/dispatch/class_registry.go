package dispatch

import (
	"slices"

	"threadsail/internal/policy"
)

// classRegistry assigns numbers to classes of requests. A number is never reused for a different class, because open requests
// and the policy refer to it: a class that has changed gets a new number, and one that is restored gets its old number back.
type classRegistry struct {
	table      []policy.Class // indexed by number; never shrinks
	numbers    map[string]int // numbers of the classes in the current settings, by name
	withoutKey map[int]int    // maps a class that is idempotent by key to the class of its requests that carry no key
}

func newClassRegistry() classRegistry {
	return classRegistry{numbers: map[string]int{}, withoutKey: map[int]int{}}
}

// register assigns numbers to the classes of new settings and drops the names of earlier settings.
func (r *classRegistry) register(classes []policy.Class) {
	clear(r.numbers)
	for _, class := range classes {
		number := r.assignNumber(class)
		r.numbers[class.Name] = number
		if class.Idempotency == policy.IdempotentByKey {
			// Without a key the server can't deduplicate a repeat, so such a request must not run twice.
			class.Idempotency = policy.NotIdempotent
			class.Name += " without a key"
			r.withoutKey[number] = r.assignNumber(class)
		}
	}
}

// assignNumber returns the number of a class, and appends the class to the table if it is not there yet.
func (r *classRegistry) assignNumber(class policy.Class) int {
	number := slices.Index(r.table, class)
	if number < 0 {
		number = len(r.table)
		r.table = append(r.table, class)
	}
	return number
}

// effectiveClass returns the number of the class under which the policy handles a request.
func (r *classRegistry) effectiveClass(request *Request) int {
	if number, ok := r.withoutKey[request.Class]; ok && !request.HasIdempotencyKey {
		return number
	}
	return request.Class
}
