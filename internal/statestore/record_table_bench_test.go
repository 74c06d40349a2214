package statestore

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/wire"
)

// machineRecord has about the size of the controller's record of a machine.
type machineRecord struct {
	Class string  `msgpack:"c"`
	Zone  string  `msgpack:"z"`
	Spot  bool    `msgpack:"s"`
	Up    bool    `msgpack:"u"`
	Since float64 `msgpack:"t"`
}

// BenchmarkRecordWrites changes one record of a table with the given number of records
// and measures the whole write, from encoding the record until the table has applied the
// change from the mirror. Records share keys, so an operation is one changed record, not
// one transaction.
func BenchmarkRecordWrites(b *testing.B) {
	for _, records := range []int{100, 800, 4000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			store := New(1e6, 1e6, 8, 4)
			store.Mirror.Loaded, store.Mirror.requestInFlight = true, true // the benchmark takes the place of the watch
			table := NewRecordTable(store, "u/m/", func(string) wire.Guard { return wire.Guard{Key: "u/own/c", Version: 1} },
				func(string, string, msgpack.RawMessage, bool) {})
			now, revision := time.Duration(0), uint64(1)
			write := func(i int, up bool) {
				table.Set("c", fmt.Sprintf("i-%06d", i), machineRecord{Class: "c", Zone: "a", Up: up, Since: float64(i)}, 0)
				now += time.Second
				store.Tick(now)
				table.Write()
				for _, call := range store.Tick(now) {
					revision++
					reply, err := wire.Encode(wire.TxnReply{Revision: revision})
					if err != nil {
						b.Fatal(err)
					}
					store.HandleReply(now, call.ID, 200, reply)
				}
				for _, change := range store.Mirror.TakeChanges() {
					table.Apply(change)
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
