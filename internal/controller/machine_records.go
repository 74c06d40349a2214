package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

const (
	keyMachines = statestore.Root + "r/"
	keyType     = statestore.Root + "t/"
)

// machineRecord is the durable record of a machine that may get tasks.
type machineRecord struct {
	//lint:ignore U1000 read by the codec: the record is a list, as every version writes it
	_msgpack struct{} `msgpack:",as_array"`
	Zone     string
	Spot     bool
	At       int64 // time of day of the rental, s
	// Up: it has reported and may have got tasks. Without it the machine is on
	// its way: a takeover need not wait for it.
	Up bool
	// Address is where its worker answers, for a new owner that it does not find.
	Address string
	Class   string `msgpack:"-"`
}

// applyMachineRecord follows the records of machines.
func (c *Core) applyMachineRecord(id, class string, value msgpack.RawMessage, gone bool) {
	c.fleetChanged = true
	var e machineRecord
	switch {
	case gone:
		delete(c.machineRecords, id)
	case wire.Decode(value, &e) == nil:
		e.Class = class
		c.machineRecords[id] = e
	}
}

// applyType follows the recorded machine types.
func (c *Core) applyType(ch statestore.Change) {
	if !strings.HasPrefix(ch.Key, keyType) || ch.Removed {
		return
	}
	t := &wire.MachineType{}
	if wire.Decode(ch.Entry.Value, t) == nil && t.Name != "" {
		c.typesSaved[t.Name] = true
		if c.fleet.Types[t.Name] == nil {
			c.fleet.Types[t.Name] = t
		}
	}
}

// writeMachineRecords records machines before their first launch, drops those that are
// gone, and keeps the machine types for starts while the cloud is down.
func (c *Core) writeMachineRecords() {
	if c.now.Steady < c.nextRecordScan {
		return
	}
	c.nextRecordScan = c.now.Steady + limits.ScanInterval
	if c.fleetChanged || c.now.Steady >= c.nextFleetScan {
		c.fleetChanged = false
		c.nextFleetScan = c.now.Steady + limits.FleetScanInterval
		c.recordMachinesUp()
		c.recordMachinesBooting()
		c.removeGoneMachines()
	}
	c.machineTable.Write()
	c.writeTypes()
}

// removeGoneMachines drops the records of machines that the cloud has deleted.
func (c *Core) removeGoneMachines() {
	for id, record := range c.machineRecords {
		if _, ours := c.active[record.Class]; ours && c.fleet.IsGone(id) {
			delete(c.recordRequested, id)
			c.machineTable.Remove(id, limits.PageDelay)
		}
	}
}

// newMachineRecord is the record of a machine that was rented at since.
func (c *Core) newMachineRecord(kind fleet.Kind, since time.Duration) machineRecord {
	age := (c.now.Steady - since).Seconds()
	return machineRecord{Zone: kind.Zone, Spot: kind.Spot, At: int64(c.now.Unix - age)}
}

// recordMachinesUp asks for the records without which a machine gets no task.
func (c *Core) recordMachinesUp() {
	for _, m := range c.pool.Sorted() {
		if c.machineRecords[m.ID].Up || m.Deleting || !m.Adopted || c.recordRequested[m.ID] {
			continue
		}
		since := c.now.Steady
		if r := c.fleet.Rentals[m.ID]; r != nil {
			since = r.Since
		}
		record := c.newMachineRecord(kindOf(m), since)
		record.Up, record.Address = true, m.Address
		c.recordRequested[m.ID] = true
		c.machineTable.Set(m.Class, m.ID, record, 0)
	}
}

// recordMachinesBooting records what is on its way: a successor then knows of it before the
// lists do, and rents nothing twice.
func (c *Core) recordMachinesBooting() {
	var booting []string
	for id, r := range c.fleet.Rentals {
		_, recorded := c.machineRecords[id]
		_, ours := c.active[r.Kind.Class]
		if ours && !recorded && !c.recordRequested[id] && !r.Deleted && !r.Up && r.Listed == "" {
			booting = append(booting, id)
		}
	}
	slices.Sort(booting) // which records share a key must not depend on the order of a map
	for _, id := range booting {
		r := c.fleet.Rentals[id]
		c.machineTable.Set(r.Kind.Class, id, c.newMachineRecord(r.Kind, r.Since), limits.PageDelay)
	}
}

func (c *Core) writeTypes() {
	if c.savingTypes {
		return
	}
	var t wire.Txn
	for _, name := range c.fleet.Classes() {
		mt := c.fleet.Types[name]
		if _, ok := c.active[name]; ok && !c.typesSaved[name] && len(t.Then) < c.store.MaxWrites() {
			key := keyType + name
			e, _ := c.store.Mirror.Get(key)
			t.Guards = append(t.Guards, c.ownership.Guard(name), wire.Guard{Key: key, Version: e.Version})
			t.Then = append(t.Then, wire.Op{Key: key, Value: mt})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	c.savingTypes = true
	c.store.Txn(statestore.Progress, limits.StoreTimeout, t, func(r statestore.Reply) {
		c.savingTypes = false
		if r.Status == statestore.OK {
			for _, op := range t.Then {
				c.typesSaved[op.Value.(*wire.MachineType).Name] = true
			}
		}
	})
}
