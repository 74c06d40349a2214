// Package allocation is the online algorithm of UDRF (paper, III-C): as long as
// any unit fits, it starts one for the team with the lowest dominant share. It
// is pure: the same input gives the same placements.
package allocation

import (
	"maps"
	"math"
	"slices"
	"sort"
)

// Resources is an amount of each resource of a machine.
type Resources struct{ CPUs, GPUs, Memory float64 }

const epsilon = 1e-6

// muchLarger is how many times larger another unit of a class is when a unit had
// better keep to other classes.
const muchLarger = 3

// fetchShare of the time within which a task should start is what fetching its
// image may take; the rest is for slower fetches and the way to the machine.
const fetchShare = 0.6

// Fits tells whether a is available in b.
func (a Resources) Fits(b Resources) bool {
	return a.CPUs <= b.CPUs+epsilon && a.GPUs <= b.GPUs+epsilon && a.Memory <= b.Memory+epsilon
}

// Add returns a + n*b.
func (a Resources) Add(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.Memory + n*b.Memory}
}

// Machine is a machine with room.
type Machine struct {
	ID          string
	Class       string
	Zone        string
	Spot        bool
	Size        Resources // all that it has
	Free        Resources
	FetchGBps   float64         // GB a second
	Images      map[string]bool // images that it has (true) or fetches; not changed by Run
	Busy        bool            // it has tasks; an idle one may soon be returned
	fetching    map[string]bool // images that this run's placements make it fetch
	reservedFor string          // the only job whose tasks it takes
	GangsOnly   bool            // takes only gangs
}

// Unit is a job's waiting tasks, which are all alike. The algorithm starts one at a
// time, or all of them where they are a gang.
type Unit struct {
	Job     string
	Need    Resources
	Count   int
	Image   string
	Classes map[string]bool
	Shape   string // equal for units with equal Classes, Zone and Spot; empty: unknown
	Zone    string // the only zone allowed, or empty
	Spot    bool   // spot machines allowed
	OneZone bool
	Spread  bool
	Tasks   int            // all tasks of the job
	ByZone  map[string]int // its placed tasks by zone, for OneZone and Spread; changed by Run
	Avoid   map[string]bool
	Safe    bool // better not on a spot machine
	// Within is how soon tasks should have started, s, and ImageGB what a machine
	// without the image has to fetch first; 0: no matter.
	StartWithin, ImageGB float64
	Overdue              bool // has waited too long to begin: HoldRoom keeps room for it
	Low                  bool // of the lowest priority
	Gang                 bool // all Count tasks are placed together or none is
	Urgent               bool // Return asks for room for it beyond its team's guarantee, too

	lastMachine *Machine // where Run put the last task of it
	lastRank    int
}

// Reserve leaves a machine to one job.
func (m *Machine) Reserve(job string) { m.reservedFor = job }

func (u *Unit) allows(m *Machine) bool {
	if (m.reservedFor != "" && m.reservedFor != u.Job) || (m.GangsOnly && !u.Gang) || !u.Classes[m.Class] || (m.Spot && !u.Spot) || (u.Zone != "" && u.Zone != m.Zone) || u.Avoid[m.ID] {
		return false
	}
	if u.OneZone {
		for z, n := range u.ByZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	return !u.Spread || u.ByZone[m.Zone] < (u.Tasks+1)/2
}

// Team is a team's claim: what it has booked, its bounds, and its units in the
// order in which it wants them.
type Team struct {
	Name      string
	Booked    map[string]Resources // by class
	Unknown   Resources            // may be running where we can't see it: counts against the limit
	MaxCPUs   float64              // 0: none
	MaxGPUs   float64
	Guarantee Resources // Memory unused; 0: none
	Units     []*Unit
}

func (t *Team) total() Resources {
	r := t.Unknown
	for _, b := range t.Booked {
		r = r.Add(b, 1)
	}
	return r
}

func (t *Team) underLimit(total, need Resources) bool {
	return (t.MaxCPUs <= 0 || total.CPUs+need.CPUs <= t.MaxCPUs+epsilon) &&
		(t.MaxGPUs <= 0 || total.GPUs+need.GPUs <= t.MaxGPUs+epsilon)
}

// guaranteed tells whether one more unit stays within the team's guarantee.
func (t *Team) guaranteed(total, need Resources) bool {
	if t.Guarantee.CPUs <= 0 && t.Guarantee.GPUs <= 0 {
		return false
	}
	return total.CPUs+need.CPUs <= t.Guarantee.CPUs+epsilon && (need.GPUs <= 0 || total.GPUs+need.GPUs <= t.Guarantee.GPUs+epsilon)
}

// total is what a unit takes at once: one task, or a whole gang.
func (u *Unit) total() Resources {
	if u.Gang {
		return Resources{}.Add(u.Need, float64(u.Count))
	}
	return u.Need
}

// rank tells what comes before the share: what is within a guarantee; then teams that
// have one; then others; and low work of these last. Teams without a guarantee take
// what is left, and low work does where nobody has one.
func (t *Team) rank(total Resources, u *Unit) int {
	switch {
	case t.guaranteed(total, u.total()):
		return 3
	case t.Guarantee != (Resources{}):
		return 2
	case !u.Low:
		return 1
	}
	return 0
}

// Share is the team's dominant share: its largest booked part of any resource
// of any class (paper, equation 12, with booked amounts for x*d).
func Share(booked, capacity map[string]Resources) float64 {
	s := 0.0
	part := func(b, c float64) {
		if c > 0 {
			s = math.Max(s, b/c)
		}
	}
	for class, b := range booked {
		c := capacity[class]
		part(b.CPUs, c.CPUs)
		part(b.GPUs, c.GPUs)
		part(b.Memory, c.Memory)
	}
	return s
}

// Placement puts one task of a unit's job on a machine.
type Placement struct {
	Team    string
	Unit    *Unit
	Machine *Machine
}

// Run fills the machines. largest is the largest unit that unfinished jobs may
// ask of each class: small units keep out of its way. It changes Free, Busy,
// Booked, Count and ByZone as it goes.
// A team whose next unit fits nowhere goes on with its next job of another
// shape; with none left it is skipped. Teams below their guarantee come first:
// the plain lowest share could leave them behind for want of capacity. See rank.
func Run(teams []*Team, machines []*Machine, capacity, largest map[string]Resources) []Placement {
	var out []Placement
	type state struct {
		next  int
		total Resources
		share float64
	}
	st := make([]state, len(teams))
	for i, t := range teams {
		st[i] = state{total: t.total(), share: Share(t.Booked, capacity)}
		for _, u := range t.Units {
			u.lastMachine = nil
		}
	}
	for _, m := range machines {
		m.fetching = nil
	}
	// Room only shrinks in a run: what found no machine finds none later, nor
	// does a larger unit that may use the same machines.
	failed := map[string][]Resources{}
	for {
		best, bestIn := -1, 0
		for i, t := range teams {
			s := &st[i]
			for s.next < len(t.Units) && (t.Units[s.next].Count <= 0 || !t.underLimit(s.total, t.Units[s.next].total()) || t.Units[s.next].cannotFit(failed)) {
				s.next++
			}
			if s.next >= len(t.Units) {
				continue
			}
			in := t.rank(s.total, t.Units[s.next])
			if best < 0 || in > bestIn || (in == bestIn && s.share < st[best].share) {
				best, bestIn = i, in
			}
		}
		if best < 0 {
			return out
		}
		t, s := teams[best], &st[best]
		u := t.Units[s.next]
		chosen := placeUnit(u, machines, largest)
		if len(chosen) == 0 {
			if u.isPlain() {
				failed[u.Shape] = append(failed[u.Shape], u.Need)
			}
			s.next++
			continue
		}
		u.Count -= len(chosen)
		for _, m := range chosen {
			m.Busy = true
			if u.Image != "" && !m.hasImage(u.Image) {
				if m.fetching == nil {
					m.fetching = map[string]bool{}
				}
				m.fetching[u.Image] = true
			}
			t.Booked[m.Class] = t.Booked[m.Class].Add(u.Need, 1)
			s.total = s.total.Add(u.Need, 1)
			out = append(out, Placement{t.Name, u, m})
		}
		s.share = Share(t.Booked, capacity)
	}
}

// placeUnit takes room for one task of a unit, or for all tasks of a gang, and tells where;
// for a gang that fits nowhere as a whole it takes nothing.
func placeUnit(u *Unit, machines []*Machine, largest map[string]Resources) []*Machine {
	take := func() *Machine {
		m := u.stillBest(largest)
		if m == nil {
			m = pickMachine(u, machines, largest)
		}
		if m != nil {
			m.Free = m.Free.Add(u.Need, -1)
			if u.ByZone != nil {
				u.ByZone[m.Zone]++
			}
		}
		return m
	}
	if !u.Gang {
		if m := take(); m != nil {
			return []*Machine{m}
		}
		return nil
	}
	var chosen []*Machine
	u.tryZones(machines, func() bool {
		chosen = nil
		for u.lastMachine = nil; len(chosen) < u.Count; {
			m := take()
			if m == nil {
				break
			}
			chosen = append(chosen, m)
		}
		if len(chosen) == u.Count {
			return true
		}
		for _, m := range chosen {
			m.Free = m.Free.Add(u.Need, 1)
			if u.ByZone != nil {
				u.ByZone[m.Zone]--
			}
		}
		chosen = nil
		return false
	})
	u.lastMachine = nil
	return chosen
}

// tryZones tries something in one zone after the other for a unit that must be in one, and
// once for any other, until it succeeds.
func (u *Unit) tryZones(machines []*Machine, try func() bool) {
	zone := u.Zone
	defer func() { u.Zone = zone }()
	zones := map[string]bool{}
	for _, m := range machines {
		zones[m.Zone] = true
	}
	if !u.OneZone || zone != "" {
		zones = map[string]bool{zone: true}
	}
	for _, u.Zone = range slices.Sorted(maps.Keys(zones)) {
		if try() {
			return
		}
	}
}

// HoldRoom keeps a machine for every overdue unit that fits on none, the one that
// lacks least for it: its room is freed in small pieces, and small units would
// take each as it comes. At most that many are held; it tells which.
func HoldRoom(teams []*Team, machines []*Machine, most int) map[string]bool {
	held, gang := map[string]bool{}, false
	for _, t := range teams {
		total := t.total()
		for _, u := range t.Units {
			if !u.Overdue || len(held) >= most || !t.underLimit(total, u.total()) {
				continue
			}
			if u.Gang {
				if !gang {
					gang = holdRoomForGang(u, machines, held)
				}
				continue
			}
			var best *Machine
			part, fits := 0.0, false
			for _, m := range machines {
				if held[m.ID] || !u.Need.Fits(m.Size) || !u.allows(m) {
					continue
				}
				fits = fits || u.Need.Fits(m.Free)
				if p := u.Need.fractionIn(m.Free); best == nil || p > part {
					best, part = m, p
				}
			}
			if best != nil && !fits {
				best.reservedFor, held[best.ID] = u.Job, true
			}
		}
	}
	return held
}

// holdRoomForGang keeps the machines for a gang that need to run empty least to take it whole,
// unless it fits as it is. One gang at a time has room held: two would each keep half of
// what one needs. It tells whether it did.
func holdRoomForGang(u *Unit, machines []*Machine, held map[string]bool) bool {
	var best []*Machine
	least := math.Inf(1)
	u.tryZones(machines, func() bool {
		var list []*Machine
		fits := 0
		for _, m := range machines {
			if !held[m.ID] && u.Need.Fits(m.Size) && u.allows(m) {
				list = append(list, m)
				fits += u.Need.CountIn(m.Free)
			}
		}
		if fits >= u.Count {
			best = nil
			return true
		}
		// The part of a machine that is in use has to end first.
		sort.SliceStable(list, func(a, b int) bool {
			return list[a].Size.fractionIn(list[a].Free) > list[b].Size.fractionIn(list[b].Free)
		})
		room, used := 0, 0.0
		for i, m := range list {
			room += u.Need.CountIn(m.Size)
			used += 1 - m.Size.fractionIn(m.Free)
			if room >= u.Count {
				if used < least {
					best, least = list[:i+1], used
				}
				break
			}
		}
		return false
	})
	for _, m := range best {
		m.reservedFor, held[m.ID] = u.Job, true
	}
	return len(best) > 0
}

// fractionIn tells which part of a is available in b, at the resource that lacks most.
func (a Resources) fractionIn(b Resources) float64 {
	p := math.Inf(1)
	for _, x := range [][2]float64{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}, {a.Memory, b.Memory}} {
		if x[0] > 0 {
			p = math.Min(p, x[1]/x[0])
		}
	}
	return p
}

// isPlain tells whether nothing but Shape and Need decides where a unit may go.
func (u *Unit) isPlain() bool {
	return u.Shape != "" && !u.Gang && !u.Overdue && !u.OneZone && !u.Spread && len(u.Avoid) == 0
}

func (u *Unit) cannotFit(failed map[string][]Resources) bool {
	if !u.isPlain() {
		return false
	}
	for _, f := range failed[u.Shape] {
		if f.Fits(u.Need) {
			return true
		}
	}
	return false
}

// hasImage tells whether the image is there, or at least on its way.
func (m *Machine) hasImage(image string) bool {
	_, known := m.Images[image]
	return known || m.fetching[image]
}

// stillBest tells whether the machine that took the last task of the unit is still
// the best one: it has less room than before, and if it ranks no lower, nothing
// that pick would look at has come before it.
func (u *Unit) stillBest(largest map[string]Resources) *Machine {
	if m := u.lastMachine; m != nil && u.Need.Fits(m.Free) && u.allows(m) && u.rankMachine(m, largest) >= u.lastRank {
		return m
	}
	return nil
}

// pickMachine chooses the machine for a unit among those with room: the one of the
// highest rank, and among equals the one with the least room left, so that
// others run empty and can be returned; and then first-fit.
func pickMachine(u *Unit, machines []*Machine, largest map[string]Resources) *Machine {
	var best *Machine
	rank := -1
	for _, m := range machines {
		if !u.Need.Fits(m.Free) || !u.allows(m) {
			continue
		}
		if r := u.rankMachine(m, largest); r > rank || (r == rank && m.Free.CPUs < best.Free.CPUs-epsilon) {
			best, rank = m, r
		}
	}
	u.lastMachine, u.lastRank = best, rank
	return best
}

// rankMachine ranks a machine by what counts most: that a unit that should start soon
// need not wait for its image; that a unit that should be safe is on an ordinary
// machine; that the class is not one that much larger units need;
// that the largest unit of the class loses no room, for small units spread over
// large machines lock it out; that the image is there,
// since a fetch takes room for as long as a short task runs; that the machine is
// busy.
func (u *Unit) rankMachine(m *Machine, largest map[string]Resources) int {
	r := 0
	if u.StartWithin > 0 && (u.Image == "" || m.Images[u.Image] || u.ImageGB <= fetchShare*u.StartWithin*m.FetchGBps) {
		r += 32
	}
	big := largest[m.Class]
	if u.Safe && !m.Spot {
		r += 16
	}
	if big.CPUs < muchLarger*u.Need.CPUs {
		r += 8
	}
	if big == u.Need || big.CountIn(m.Free) == big.CountIn(m.Free.Add(u.Need, -1)) {
		r += 4
	}
	if u.Image == "" || m.hasImage(u.Image) {
		r += 2
	}
	if m.Busy {
		r++
	}
	return r
}

// CountIn tells how often a is available in b.
func (a Resources) CountIn(b Resources) int {
	n := math.Inf(1)
	part := func(x, y float64) {
		if x > 0 {
			n = math.Min(n, math.Floor((y+epsilon)/x))
		}
	}
	part(a.CPUs, b.CPUs)
	part(a.GPUs, b.GPUs)
	part(a.Memory, b.Memory)
	return int(math.Min(n, 1<<20))
}
