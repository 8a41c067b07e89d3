package main

import (
	"fmt"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/policy"
	"threadsail/internal/simulator"
)

// adapter hosts the instances of one process and keeps the numbered lists that the simulator's updates refer to.
type adapter struct {
	instances map[uint16]*instance
	lists     [simulator.ListSlots]serverList
	reply     simulator.Reply
}

// serverList is a list under one number.
type serverList struct {
	given   bool
	entries []simulator.ServerEntry
}

func newAdapter() *adapter { return &adapter{instances: map[uint16]*instance{}} }

// handleBatch hands a batch's events to their instances and returns the reply, which is good until the next batch.
func (a *adapter) handleBatch(batch *simulator.Batch) ([]byte, error) {
	a.reply.Reset(batch.Number)
	now := config.Milliseconds(batch.ClockMs)
	for i, event := range batch.Events {
		if err := a.handleEvent(now, event); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	return a.reply.Bytes(), nil
}

// handleEvent hands on one event. A panic of the policy is reported to the simulator, which stops then.
func (a *adapter) handleEvent(now time.Duration, event simulator.Event) error {
	defer func() {
		if failure := recover(); failure != nil {
			a.reply.ReportPanic(event.Instance, fmt.Sprint(failure))
		}
	}()
	switch message := event.Message.(type) {
	case simulator.ServerList:
		a.lists[message.Slot] = serverList{given: true, entries: message.Entries}
		return nil
	case simulator.Start:
		return a.start(event.Instance, message)
	case simulator.Stop:
		delete(a.instances, event.Instance)
		return nil
	}
	instance := a.instances[event.Instance]
	if instance == nil {
		return nil
	}
	if update, ok := event.Message.(simulator.ListUpdate); ok {
		return a.updateList(now, instance, update)
	}
	instance.handle(now, event.Message)
	return nil
}

// start begins an instance with its settings. An instance of the same number ends by that.
func (a *adapter) start(number uint16, start simulator.Start) error {
	file, err := config.ParseSettings(start.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	settings, err := config.PolicySettings(file)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{number: number, reply: &a.reply, positionEpoch: settings.PositionEpoch, reportFields: file.Health.Fields}
	i.router, err = policy.New(settings, start.Seed, i)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	a.instances[number] = i
	return nil
}

// updateList hands an instance a list that the process has been given, or a failure.
func (a *adapter) updateList(now time.Duration, i *instance, update simulator.ListUpdate) error {
	if update.Kind == simulator.ListFailed {
		i.router.HandleList(now, policy.ListFailed, nil)
		return nil
	}
	list := a.lists[update.Slot]
	if !list.given {
		return fmt.Errorf("instance %d: list number %d was never given", i.number, update.Slot)
	}
	i.router.HandleList(now, listKind(update.Kind), members(list.entries))
	return nil
}
