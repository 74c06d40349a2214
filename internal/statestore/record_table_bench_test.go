package statestore

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/wire"
)

// machineRecord is a record of about the size of a machine's in the controller.
type machineRecord struct {
	Class string  `msgpack:"c"`
	Zone  string  `msgpack:"z"`
	Spot  bool    `msgpack:"s"`
	Up    bool    `msgpack:"u"`
	Since float64 `msgpack:"t"`
}

// BenchmarkRecordWrites changes one record of a table that holds so many, and
// carries the change to the state service and back: a write to the key-value
// store, from the record's encoding to the mirror that learns of it. Records
// share keys, so the cost is by change, not by transaction.
func BenchmarkRecordWrites(b *testing.B) {
	for _, records := range []int{100, 800, 4000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			s := New(1e6, 1e6, 8, 4)
			s.Mirror.Loaded, s.Mirror.requestInFlight = true, true // the benchmark plays the watch
			p := NewRecordTable(s, "u/m/", func(string) wire.Guard { return wire.Guard{Key: "u/own/c", Version: 1} },
				func(string, string, msgpack.RawMessage, bool) {})
			now, revision := time.Duration(0), uint64(1)
			write := func(i int, up bool) {
				p.Set("c", fmt.Sprintf("i-%06d", i), machineRecord{Class: "c", Zone: "a", Up: up, Since: float64(i)}, 0)
				now += time.Second
				s.Tick(now)
				p.Write()
				for _, c := range s.Tick(now) {
					revision++
					reply, err := wire.Encode(wire.TxnReply{Revision: revision})
					if err != nil {
						b.Fatal(err)
					}
					s.Reply(now, c.ID, 200, reply)
				}
				for _, change := range s.Mirror.TakeChanges() {
					p.Apply(change)
				}
			}
			for i := 0; i < records; i++ {
				write(i, true)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for k := 0; k < b.N; k++ {
				write(k%records, k%2 == 0)
			}
		})
	}
}
