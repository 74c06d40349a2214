package workers

import "time"

// OrderState tells what is known of an order's delivery.
type OrderState int

// States of an order.
const (
	OrderUnderWay   OrderState = iota // sent, and may still be answered
	OrderAnswered                     // carried out, or refused
	OrderUnanswered                   // may be carried out as long as the worker's session lasts
)

// Order is a launch that was sent straight to a worker. Unlike a command in the answer to a report
// it may be carried out at any time while token and session match, also more than once.
type Order struct {
	Task   string
	SentAt time.Duration
	State  OrderState
	// JobDone: the job of the task was seen done, and the order can do no harm.
	JobDone bool
}

// MayStartTasks tells whether an order may still bring a task that the machine's list does not
// show.
func (o *Order) MayStartTasks() bool { return o.State != OrderAnswered && !o.JobDone }

// HasUnansweredOrders tells whether an order was never answered in the present session.
func (m *Machine) HasUnansweredOrders() bool {
	for _, o := range m.Orders {
		if o.State == OrderUnanswered {
			return true
		}
	}
	return false
}
