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
	keyMachines     = statestore.Root + "r/"
	keyMachineTypes = statestore.Root + "t/"
)

// machineRecord is the stored record of a machine that has tasks or may get them.
type machineRecord struct {
	//lint:ignore U1000 read by the codec: every version stores the record as a list
	_msgpack   struct{} `msgpack:",as_array"`
	Zone       string
	Spot       bool
	RentedUnix int64 // Unix time of the rental, in seconds
	// Up means that the machine has sent a heartbeat and may have tasks. Until then it is booting,
	// and a takeover doesn't wait for it.
	Up bool
	// Address is the address of the machine's worker. A new owner uses it if the worker doesn't
	// report to that owner.
	Address string
	Class   string `msgpack:"-"`
}

// applyMachineRecord updates machineRecords with a change of a stored record.
func (c *Core) applyMachineRecord(id, class string, value msgpack.RawMessage, removed bool) {
	c.fleetChanged = true
	var record machineRecord
	switch {
	case removed:
		delete(c.machineRecords, id)
	case wire.Decode(value, &record) == nil:
		record.Class = class
		c.machineRecords[id] = record
	}
}

// applyMachineType adds a stored machine type to the known types.
func (c *Core) applyMachineType(change statestore.Change) {
	if !strings.HasPrefix(change.Key, keyMachineTypes) || change.Removed {
		return
	}
	machineType := &wire.MachineType{}
	if wire.Decode(change.Entry.Value, machineType) == nil && machineType.Name != "" {
		c.savedTypes[machineType.Name] = true
		if c.fleet.Types[machineType.Name] == nil {
			c.fleet.Types[machineType.Name] = machineType
		}
	}
}

// writeMachineRecords stores records of machines before their first launch, removes the records of
// deleted machines, and stores the machine types so that a controller can start while the cloud is
// down.
func (c *Core) writeMachineRecords() {
	if c.now.Steady < c.nextRecordScan {
		return
	}
	c.nextRecordScan = c.now.Steady + limits.RecordScanInterval
	if c.fleetChanged || c.now.Steady >= c.nextFleetScan {
		c.fleetChanged = false
		c.nextFleetScan = c.now.Steady + limits.MachineRecordScanInterval
		c.recordMachinesUp()
		c.recordMachinesBooting()
		c.removeGoneMachineRecords()
	}
	c.machineTable.Write()
	c.writeMachineTypes()
}

// removeGoneMachineRecords removes the records of machines that the cloud has deleted.
func (c *Core) removeGoneMachineRecords() {
	for id, record := range c.machineRecords {
		if _, owned := c.activeTerms[record.Class]; owned && c.fleet.IsDeleted(id) {
			delete(c.recordRequested, id)
			c.machineTable.Remove(id, limits.DeferredWriteDelay)
		}
	}
}

// newMachineRecord returns the record of a machine that was rented at since.
func (c *Core) newMachineRecord(kind fleet.Kind, since time.Duration) machineRecord {
	age := (c.now.Steady - since).Seconds()
	return machineRecord{Zone: kind.Zone, Spot: kind.Spot, RentedUnix: int64(c.now.Unix - age)}
}

// recordMachinesUp requests records, with Up set, for machines whose task list is known to be
// complete. A machine gets no task before this record is stored.
func (c *Core) recordMachinesUp() {
	for _, machine := range c.pool.Sorted() {
		if c.machineRecords[machine.ID].Up || machine.Deleting || !machine.Adopted || c.recordRequested[machine.ID] {
			continue
		}
		since := c.now.Steady
		if rental := c.fleet.Rentals[machine.ID]; rental != nil {
			since = rental.RentedAt
		}
		record := c.newMachineRecord(rentalKind(machine), since)
		record.Up, record.Address = true, machine.Address
		c.recordRequested[machine.ID] = true
		c.machineTable.Set(machine.Class, machine.ID, record, 0)
	}
}

// recordMachinesBooting requests records of machines that are still booting. The next owner then
// sees them before the cloud's lists contain them, and rents no replacements.
func (c *Core) recordMachinesBooting() {
	var bootingIDs []string
	for id, rental := range c.fleet.Rentals {
		_, recorded := c.machineRecords[id]
		_, owned := c.activeTerms[rental.Kind.Class]
		if owned && !recorded && !c.recordRequested[id] && !rental.Deleting && !rental.Up && rental.ListedStatus == "" {
			bootingIDs = append(bootingIDs, id)
		}
	}
	slices.Sort(bootingIDs) // map order must not decide which records share a key
	for _, id := range bootingIDs {
		rental := c.fleet.Rentals[id]
		c.machineTable.Set(rental.Kind.Class, id, c.newMachineRecord(rental.Kind, rental.RentedAt), limits.DeferredWriteDelay)
	}
}

// writeMachineTypes stores the types of owned classes that are not stored yet, in one transaction
// at a time.
func (c *Core) writeMachineTypes() {
	if c.savingTypes {
		return
	}
	var txn wire.Txn
	for _, name := range c.fleet.Classes() {
		machineType := c.fleet.Types[name]
		if _, ok := c.activeTerms[name]; ok && !c.savedTypes[name] && len(txn.Then) < c.store.MaxWrites() {
			key := keyMachineTypes + name
			entry, _ := c.store.Mirror.Get(key)
			txn.Guards = append(txn.Guards, c.ownership.OwnerGuard(name), wire.Guard{Key: key, Version: entry.Version})
			txn.Then = append(txn.Then, wire.Op{Key: key, Value: machineType})
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	c.savingTypes = true
	c.store.Txn(statestore.PriorityProgress, limits.StoreTimeout, txn, func(reply statestore.Reply) {
		c.savingTypes = false
		if reply.Status == statestore.OK {
			for _, op := range txn.Then {
				c.savedTypes[op.Value.(*wire.MachineType).Name] = true
			}
		}
	})
}
