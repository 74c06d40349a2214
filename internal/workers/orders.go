package workers

import "time"

// OrderState is the state of an order's delivery, as far as the owner can determine it.
type OrderState int

// States of an order.
const (
	OrderInFlight   OrderState = iota // sent; a reply may still arrive
	OrderAnswered                     // the worker has carried it out or refused it
	OrderUnanswered                   // no reply: may be carried out as long as the worker's incarnation lasts
)

// Order is a launch that was sent to a worker by a direct order. Unlike a command in a heartbeat
// reply, it may be carried out at any time while its fencing token and incarnation match the
// worker's, and more than once.
type Order struct {
	Task   string
	SentAt time.Duration
	State  OrderState
	// JobDone means that the task's job is done. If the order still starts the task, the task exits at
	// once.
	JobDone bool
}

// MayStartTasks reports whether the order may still start a task that the machine's task list does
// not show.
func (o *Order) MayStartTasks() bool { return o.State != OrderAnswered && !o.JobDone }

// HasUnansweredOrders reports whether any order of the current incarnation got no reply.
func (m *Machine) HasUnansweredOrders() bool {
	for _, order := range m.Orders {
		if order.State == OrderUnanswered {
			return true
		}
	}
	return false
}
