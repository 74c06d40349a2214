package workers

import "time"

// OrderState is what the owner knows about the delivery of an order.
type OrderState int

// States of an order.
const (
	OrderInFlight   OrderState = iota // sent; a reply may still arrive
	OrderAnswered                     // the worker has carried it out or refused it
	OrderUnanswered                   // no reply: may be carried out as long as the worker's session lasts
)

// Order is a launch that was sent directly to a worker. Unlike a command in the answer to a report,
// it may be carried out at any time while its token and session match, and more than once.
type Order struct {
	Task   string
	SentAt time.Duration
	State  OrderState
	// JobDone means that the task's job was seen done, after which the order can do no harm.
	JobDone bool
}

// MayStartTasks reports whether the order may still start a task that the machine's task list does
// not show.
func (o *Order) MayStartTasks() bool { return o.State != OrderAnswered && !o.JobDone }

// HasUnansweredOrders reports whether any order of the current session got no reply.
func (m *Machine) HasUnansweredOrders() bool {
	for _, order := range m.Orders {
		if order.State == OrderUnanswered {
			return true
		}
	}
	return false
}
