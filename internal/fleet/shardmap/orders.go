package shardmap

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"threadsail/internal/fleet/replication"
)

// publishOrders writes the operators' orders to the shared documents and deletes the documents of retired processes. It does so at the
// start, after each reload of the operators' file, and again after a failure. It returns when ctx ends.
func (s *session) publishOrders(ctx context.Context) {
	options := s.options
	for ctx.Err() == nil {
		var retryAfter time.Duration
		if err := s.publishOptions(ctx, options); err != nil {
			retryAfter = s.options.Term
		}
		options = s.nextOptions(ctx, options, retryAfter)
	}
}

// nextOptions waits for a reload of the operators' file and returns the new options. It returns the present options once retryAfter has
// passed (0: no limit) or ctx has ended.
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

// publishOptions writes the orders that the shared documents lack and deletes the documents of retired processes. It continues after
// a failure and returns all errors.
func (s *session) publishOptions(ctx context.Context, options Options) error {
	var errs []error
	for _, order := range options.Orders {
		errs = append(errs, s.publishOrder(ctx, order))
	}
	for _, instance := range options.Retired {
		errs = append(errs, s.retire(ctx, instance))
	}
	return errors.Join(errs...)
}

// publishOrder writes the document of one order unless it is stored already.
func (s *session) publishOrder(ctx context.Context, order Order) error {
	value, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return s.putIfChanged(ctx, OrderPrefix+order.Name, value)
}

// retire deletes the router document of a process that has stopped permanently, according to the operators. It does nothing if the
// document names another process.
func (s *session) retire(ctx context.Context, instance string) error {
	pooler, _, _ := strings.Cut(instance, "/")
	stored, _ := s.runtime.View.Get(RouterPrefix + pooler)
	if string(stored.Value) != instance {
		return nil
	}
	_, err := s.put(ctx, stored.Key, stored.Version, nil, replication.Fence{})
	return err
}

// applyOrders begins a move that the operators have ordered or undoes one that they have canceled, and writes the new document. stepped
// reports whether there was such a move. An order that can't be carried out is logged once for each reason.
func (s *session) applyOrders(ctx context.Context, token uint64) (stepped bool, err error) {
	document, _ := s.coordinator.Document()
	for _, stored := range s.runtime.View.List(OrderPrefix) {
		var order Order
		if json.Unmarshal(stored.Value, &order) != nil || order.Name == "" {
			continue
		}
		next, err := document.applyOrder(order)
		if err != nil {
			s.logOnce(string(stored.Value)+err.Error(), func() {
				s.runtime.Log.Warn().Err(err).Str("move", order.Name).Msg("shardmap: order can't be carried out")
			})
		}
		if next.Epoch != document.Epoch {
			s.runtime.Log.Info().Str("move", order.Name).Bool("undo", order.Undo).Uint64("epoch", next.Epoch).Msg("shardmap: order is carried out")
			return true, s.writeDocument(ctx, token, next)
		}
	}
	return false, nil
}

// applyOrder returns the document after beginning or undoing the move of an order. It returns the document unchanged if the order has
// already been executed, or if it undoes a move that has not begun.
func (d Document) applyOrder(order Order) (Document, error) {
	_, exists := d.Move(order.Name)
	switch {
	case exists && order.Undo:
		return d.Undo(order.Name, "ordered"), nil
	case !exists && !order.Undo:
		return d.Begin(order)
	}
	return d, nil
}
