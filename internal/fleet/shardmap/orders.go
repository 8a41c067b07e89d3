package shardmap

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"threadsail/internal/fleet/replication"
)

// publishOrders writes the operators' orders into the shared documents, and deletes the documents of retired processes: at the start,
// whenever the operators' file was read again, and again after a failure.
func (s *session) publishOrders(ctx context.Context) {
	options := s.options
	for ctx.Err() == nil {
		var retryAfter time.Duration
		if err := s.publish(ctx, options); err != nil {
			retryAfter = s.options.Term
		}
		options = s.nextOptions(ctx, options, retryAfter)
	}
}

// nextOptions waits until the operators' file was read again, and returns what it says. It returns the present options after retryAfter
// (0: never), or when ctx ends.
func (s *session) nextOptions(ctx context.Context, present Options, retryAfter time.Duration) Options {
	var retry <-chan time.Time
	if retryAfter > 0 {
		timer := time.NewTimer(retryAfter)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case reloaded := <-s.reloads:
		return reloaded
	case <-ctx.Done():
	case <-retry:
	}
	return present
}

// publish writes what the documents lack of the operators' file. It tries everything, and returns all errors.
func (s *session) publish(ctx context.Context, o Options) error {
	var errs []error
	for _, order := range o.Orders {
		errs = append(errs, s.publishOrder(ctx, order))
	}
	for _, instance := range o.Retired {
		errs = append(errs, s.retire(ctx, instance))
	}
	return errors.Join(errs...)
}

// publishOrder writes one order.
func (s *session) publishOrder(ctx context.Context, o Order) error {
	value, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return s.putIfChanged(ctx, OrderPrefix+o.Name, value)
}

// retire deletes the document of a process that the operators know to have stopped, if it still names that process.
func (s *session) retire(ctx context.Context, instance string) error {
	pooler, _, _ := strings.Cut(instance, "/")
	stored, _ := s.runtime.View.Get(RouterPrefix + pooler)
	if string(stored.Value) != instance {
		return nil
	}
	_, err := s.put(ctx, stored.Key, stored.Version, nil, replication.Fence{})
	return err
}

// carryOutOrders begins the moves that the operators have ordered, and undoes those that they no longer want. It reports whether it has
// written a step. An order that can't be carried out is logged once.
func (s *session) carryOutOrders(ctx context.Context, token uint64) (stepped bool, err error) {
	document, _ := s.coordinator.Document()
	for _, stored := range s.runtime.View.List(OrderPrefix) {
		var order Order
		if json.Unmarshal(stored.Value, &order) != nil || order.Name == "" {
			continue
		}
		next, err := document.carryOut(order)
		if err != nil {
			s.logOnce(string(stored.Value)+err.Error(), func() {
				s.runtime.Log.Warn().Err(err).Str("move", order.Name).Msg("shardmap: order is not carried out")
			})
		}
		if next.Epoch != document.Epoch {
			s.runtime.Log.Info().Str("move", order.Name).Bool("undo", order.Undo).Uint64("epoch", next.Epoch).Msg("shardmap: order is carried out")
			return true, s.writeDocument(ctx, token, next)
		}
	}
	return false, nil
}

// carryOut returns the document with an order's move begun or undone; the same document if that has been done.
func (d Document) carryOut(o Order) (Document, error) {
	_, known := d.Move(o.Name)
	switch {
	case known && o.Undo:
		return d.Undo(o.Name, "ordered"), nil
	case !known && !o.Undo:
		return d.Begin(o)
	}
	return d, nil
}
