package dispatch

import (
	"slices"

	"threadsail/internal/policy"
)

// classRegistry numbers classes of requests. A number stands for the same class for good, as open requests and the policy
// refer to it: a class that has changed gets another number, and one that comes back has the number that it had.
type classRegistry struct {
	table      []policy.Class // by number; grows only
	numbers    map[string]int // by name: the classes of the settings in force
	withoutKey map[int]int    // of a class that is idempotent by key: the one for its requests that carry no key
}

func newClassRegistry() classRegistry {
	return classRegistry{numbers: map[string]int{}, withoutKey: map[int]int{}}
}

// register numbers the classes of new settings, which replace those of the earlier ones.
func (r *classRegistry) register(classes []policy.Class) {
	clear(r.numbers)
	for _, class := range classes {
		number := r.number(class)
		r.numbers[class.Name] = number
		if class.Idempotency == policy.IdempotentByKey {
			// Without a key nobody drops a repeat: such a request must not run twice at all.
			class.Idempotency = policy.NotIdempotent
			class.Name += " without a key"
			r.withoutKey[number] = r.number(class)
		}
	}
}

func (r *classRegistry) number(class policy.Class) int {
	number := slices.Index(r.table, class)
	if number < 0 {
		number = len(r.table)
		r.table = append(r.table, class)
	}
	return number
}

// effective is the class by which the policy treats a request.
func (r *classRegistry) effective(request *Request) int {
	if number, ok := r.withoutKey[request.Class]; ok && !request.HasIdempotencyKey {
		return number
	}
	return request.Class
}
