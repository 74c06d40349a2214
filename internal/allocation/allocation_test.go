package allocation

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain makes the drawn inputs the same in every run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var anyClass = map[string]bool{"c": true, "d": true}

func unit(job string, cpus float64, n int) *Unit {
	return &Unit{Job: job, Need: Resources{CPUs: cpus, Memory: 1}, Count: n, Tasks: n, Classes: anyClass, Spot: true, ByZone: map[string]int{}}
}

func machine(id string, cpus float64) *Machine {
	return &Machine{ID: id, Class: "c", Zone: "z", Free: Resources{CPUs: cpus, Memory: 100}}
}

func count(ps []Placement, team string) (n int) {
	for _, p := range ps {
		if p.Team == team {
			n++
		}
	}
	return n
}

func TestLowestShareGoesFirst(t *testing.T) {
	a := &Team{Name: "a", Booked: map[string]Resources{"c": {CPUs: 4}}, Units: []*Unit{unit("ja", 1, 20)}}
	b := &Team{Name: "b", Booked: map[string]Resources{}, Units: []*Unit{unit("jb", 1, 20)}}
	ps := Run([]*Team{a, b}, []*Machine{machine("m", 12)}, map[string]Resources{"c": {CPUs: 16, Memory: 100}}, nil)
	if len(ps) != 12 || count(ps, "a") != 4 || count(ps, "b") != 8 {
		t.Errorf("a got %d, b got %d; want equal shares of 8 with what a had", count(ps, "a"), count(ps, "b"))
	}
}

func TestGuaranteeGoesBeforeShareAndLimitCaps(t *testing.T) {
	a := &Team{Name: "a", Booked: map[string]Resources{"c": {CPUs: 4}}, Guarantee: Resources{CPUs: 8}, Units: []*Unit{unit("ja", 1, 20)}}
	b := &Team{Name: "b", Booked: map[string]Resources{}, MaxCPUs: 3, Unknown: Resources{CPUs: 1}, Guarantee: Resources{CPUs: 0.5}, Units: []*Unit{unit("jb", 1, 20)}}
	ps := Run([]*Team{a, b}, []*Machine{machine("m", 8)}, map[string]Resources{"c": {CPUs: 16, Memory: 100}}, nil)
	for i := 0; i < 4; i++ {
		if ps[i].Team != "a" {
			t.Errorf("placement %d went to %s, below a's guarantee", i, ps[i].Team)
		}
	}
	if count(ps, "b") != 2 {
		t.Errorf("b got %d, its limit with one unseen leaves 2", count(ps, "b"))
	}
}

// TestGuestsTakeWhatIsLeft: a team without a guarantee, though its share is the
// lowest, starts nothing while teams with one have units that fit, and all that
// is left then.
func TestGuestsTakeWhatIsLeft(t *testing.T) {
	a := &Team{Name: "a", Booked: map[string]Resources{"c": {CPUs: 8}}, Guarantee: Resources{CPUs: 4}, Units: []*Unit{unit("ja", 3, 2)}}
	guest := &Team{Name: "guest", Booked: map[string]Resources{}, Units: []*Unit{unit("jg", 1, 20)}}
	ps := Run([]*Team{guest, a}, []*Machine{machine("m", 8)}, map[string]Resources{"c": {CPUs: 16, Memory: 100}}, nil)
	if len(ps) != 4 || ps[0].Team != "a" || ps[1].Team != "a" || count(ps, "guest") != 2 {
		t.Errorf("%d placements, a got %d, the guest %d", len(ps), count(ps, "a"), count(ps, "guest"))
	}
}

// TestLowWorkTakesWhatIsLeft: the same where no team has a guarantee, for work of the
// lowest priority; among other work the lowest share decides.
func TestLowWorkTakesWhatIsLeft(t *testing.T) {
	a := &Team{Name: "a", Booked: map[string]Resources{"c": {CPUs: 8}}, Units: []*Unit{unit("ja", 3, 2)}}
	guest := &Team{Name: "guest", Booked: map[string]Resources{}, Units: []*Unit{unit("jg", 1, 1), unit("jl", 1, 20)}}
	guest.Units[1].Low = true
	ps := Run([]*Team{guest, a}, []*Machine{machine("m", 9)}, map[string]Resources{"c": {CPUs: 17, Memory: 100}}, nil)
	if len(ps) != 5 || ps[0].Unit.Job != "jg" || ps[1].Team != "a" || ps[2].Team != "a" || count(ps, "guest") != 3 {
		t.Errorf("%d placements, a got %d, the guest %d", len(ps), count(ps, "a"), count(ps, "guest"))
	}
}

// TestReturnTakesOnlyWhatIsLent draws teams, loans and units: a claim makes its unit
// fit, comes from other teams, leaves each of them its guarantee, and is made only
// for units within a guarantee or, from low loans, for urgent ones; units that room
// is on its way for claim no more.
func TestReturnTakesOnlyWhatIsLent(t *testing.T) {
	claims, urgent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var teams []*Team
		byName := map[string]*Team{}
		for _, name := range []string{"a", "b", "guest"} {
			tm := &Team{Name: name, Booked: map[string]Resources{}}
			if name != "guest" {
				tm.Guarantee = Resources{CPUs: float64(rapid.IntRange(4, 40).Draw(t, "guarantee"))}
			}
			teams, byName[name] = append(teams, tm), tm
		}
		var loans []Preemptible
		var machines []*Machine
		for i := rapid.IntRange(1, 6).Draw(t, "machines"); i > 0; i-- {
			m := machine(fmt.Sprint("m", i), 0)
			machines = append(machines, m)
			m.Size = Resources{CPUs: 16, Memory: 100}
			free := 16.0
			for free > 0 {
				cpus := float64(rapid.IntRange(1, 5).Draw(t, "cpus"))
				if cpus > free {
					break
				}
				free -= cpus
				tm := teams[rapid.IntRange(0, 2).Draw(t, "team")]
				tm.Booked["c"] = tm.Booked["c"].Add(Resources{CPUs: cpus, Memory: 1}, 1)
				if rapid.Bool().Draw(t, "saves") {
					loans = append(loans, Preemptible{ID: len(loans), Team: tm.Name, Machine: m, Need: Resources{CPUs: cpus, Memory: 1}, Low: rapid.Bool().Draw(t, "low")})
				}
			}
			m.Free = Resources{CPUs: free, Memory: 50}
		}
		pending := map[string]int{}
		for _, tm := range teams {
			for k := 0; k < 2; k++ {
				u := unit(fmt.Sprintf("j%s%d", tm.Name, k), float64(rapid.IntRange(5, 16).Draw(t, "need")), 3)
				u.Urgent = rapid.Bool().Draw(t, "urgent")
				pending[u.Job] = rapid.IntRange(0, 3).Draw(t, "pending")
				tm.Units = append(tm.Units, u)
			}
		}
		most := rapid.IntRange(0, 4).Draw(t, "most")
		was := map[string]int{}
		for j, n := range pending {
			was[j] = n
		}
		total := map[string]float64{}
		for _, tm := range teams {
			total[tm.Name] = tm.total().CPUs
		}
		used, made := map[int]bool{}, map[string]int{}
		out := Preempt(teams, machines, loans, pending, most)
		if len(out) > most {
			t.Fatalf("%d claims of %d", len(out), most)
		}
		for _, c := range out {
			claims++
			owner := byName[c.Unit.Job[1:len(c.Unit.Job)-1]]
			in := owner.Guarantee.CPUs > 0 && owner.total().CPUs+c.Unit.Need.CPUs <= owner.Guarantee.CPUs
			free := c.Machine.Free
			for _, l := range c.Victims {
				if l.Team == owner.Name || used[l.ID] || l.Machine != c.Machine {
					t.Fatalf("%s claims loan %d of %s", owner.Name, l.ID, l.Team)
				}
				if !in && !(c.Unit.Urgent && l.Low) {
					t.Fatalf("%s claims beyond its guarantee", owner.Name)
				}
				if total[l.Team] <= byName[l.Team].Guarantee.CPUs {
					t.Fatalf("%s must return of its guarantee", l.Team)
				}
				used[l.ID] = true
				total[l.Team] -= l.Need.CPUs
				free = free.Add(l.Need, 1)
			}
			if !in {
				urgent++
			}
			if !c.Unit.Need.Fits(free) {
				t.Fatal("the unit does not fit after its claim")
			}
			if made[c.Unit.Job]++; made[c.Unit.Job]+was[c.Unit.Job] > c.Unit.Count {
				t.Fatalf("%s claims more than it has tasks", c.Unit.Job)
			}
		}
	})
	if claims < 20 || urgent < 5 {
		t.Errorf("only %d claims, %d of them urgent: the draw shows little", claims, urgent)
	}
}

func TestPickKeepsRoomForTheLargestAndReusesImages(t *testing.T) {
	small, large := machine("small", 8), machine("large", 16)
	small.Class = "d"
	u := unit("j", 2, 1)
	u.Image = "i"
	large.Images = map[string]bool{"i": true}
	big := map[string]Resources{"c": {CPUs: 16}, "d": {CPUs: 2, Memory: 1}}
	if m := pickMachine(u, []*Machine{large, small}, big); m != small {
		t.Errorf("a small task went to %s and locked out a large one", m.ID)
	}
	if m := pickMachine(u, []*Machine{small, large}, nil); m != large {
		t.Errorf("the image is on large, got %s", m.ID)
	}
}

// TestRunKeepsTheRules checks drawn inputs: no machine is overfilled, no limit
// passed, no place that the job doesn't allow, and nothing that fits is left.
func TestRunKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*Machine
		room := map[string]float64{}
		for i := 0; i < rapid.IntRange(1, 6).Draw(t, "machines"); i++ {
			m := machine(fmt.Sprint("m", i), float64(rapid.IntRange(0, 16).Draw(t, "cpus")))
			m.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			m.Spot = rapid.Bool().Draw(t, "spot")
			machines = append(machines, m)
			room[m.ID] = m.Free.CPUs
		}
		var teams []*Team
		for i := 0; i < rapid.IntRange(1, 3).Draw(t, "teams"); i++ {
			tm := &Team{Name: fmt.Sprint("t", i), Booked: map[string]Resources{}, MaxCPUs: float64(rapid.IntRange(0, 30).Draw(t, "max"))}
			for k := 0; k < rapid.IntRange(0, 3).Draw(t, "jobs"); k++ {
				u := unit(fmt.Sprint("j", i, k), float64(rapid.IntRange(1, 8).Draw(t, "need")), rapid.IntRange(1, 6).Draw(t, "count"))
				u.Spot, u.OneZone, u.Spread = rapid.Bool().Draw(t, "allowSpot"), rapid.Bool().Draw(t, "oneZone"), rapid.Bool().Draw(t, "spread")
				tm.Units = append(tm.Units, u)
			}
			teams = append(teams, tm)
		}
		ps := Run(teams, machines, map[string]Resources{"c": {CPUs: 96, Memory: 600}}, nil)
		used, byTeam, zones := map[string]float64{}, map[string]float64{}, map[*Unit]map[string]int{}
		for _, p := range ps {
			used[p.Machine.ID] += p.Unit.Need.CPUs
			byTeam[p.Team] += p.Unit.Need.CPUs
			if zones[p.Unit] == nil {
				zones[p.Unit] = map[string]int{}
			}
			zones[p.Unit][p.Machine.Zone]++
			if p.Machine.Spot && !p.Unit.Spot {
				t.Fatalf("%s on a spot machine", p.Unit.Job)
			}
		}
		for id, u := range used {
			if u > room[id] {
				t.Fatalf("%s holds %v of %v", id, u, room[id])
			}
		}
		for _, tm := range teams {
			if tm.MaxCPUs > 0 && byTeam[tm.Name] > tm.MaxCPUs {
				t.Fatalf("%s uses %v of %v", tm.Name, byTeam[tm.Name], tm.MaxCPUs)
			}
			for _, u := range tm.Units {
				for _, n := range zones[u] {
					if u.Spread && n > (u.Tasks+1)/2 || u.OneZone && len(zones[u]) > 1 {
						t.Fatalf("%s in zones %v of %d", u.Job, zones[u], u.Tasks)
					}
				}
				if u.Count > 0 && tm.underLimit(tm.total(), u.Need) && pickMachine(u, machines, nil) != nil {
					t.Fatalf("a unit of %s still fits", u.Job)
				}
			}
		}
	})
}

// TestHoldKeepsRoomForAnOverdueUnit: the machine that lacks least is kept for it,
// and small units leave it alone.
func TestHoldKeepsRoomForAnOverdueUnit(t *testing.T) {
	a, b := machine("a", 3), machine("b", 6)
	a.Size, b.Size = Resources{CPUs: 8, Memory: 100}, Resources{CPUs: 8, Memory: 100}
	big := unit("big", 8, 2)
	big.Overdue = true
	teams := []*Team{{Name: "t", Booked: map[string]Resources{}, Units: []*Unit{big, unit("small", 1, 20)}}}
	held := HoldRoom(teams, []*Machine{a, b}, 1)
	if len(held) != 1 || !held["b"] {
		t.Fatalf("held %v", held)
	}
	for _, p := range Run(teams, []*Machine{a, b}, map[string]Resources{"c": {CPUs: 16, Memory: 200}}, nil) {
		if p.Machine == b {
			t.Errorf("%s went to the machine that is held", p.Unit.Job)
		}
	}
	b.Free = b.Size
	if ps := Run(teams, []*Machine{a, b}, map[string]Resources{"c": {CPUs: 16, Memory: 200}}, nil); len(ps) != 1 || ps[0].Unit != big || ps[0].Machine != b {
		t.Errorf("the room that was kept went to %v", ps)
	}
}

// TestUnitsThatShouldStartSoonNeedNoFetch guards against tasks that join a fetch
// just begun on one machine while another has the image.
func TestUnitsThatShouldStartSoonNeedNoFetch(t *testing.T) {
	coming, there, fast := machine("coming", 2), machine("there", 8), machine("fast", 16)
	coming.Images, there.Images = map[string]bool{"i": false}, map[string]bool{"i": true}
	coming.Busy, fast.FetchGBps = true, 1
	u := unit("j", 2, 1)
	u.Image, u.ImageGB = "i", 2
	if m := pickMachine(u, []*Machine{coming, there, fast}, nil); m != coming {
		t.Errorf("no hurry, and it went to %s", m.ID)
	}
	u.StartWithin = 4
	if m := pickMachine(u, []*Machine{coming, there, fast}, nil); m != there {
		t.Errorf("in a hurry it went to %s", m.ID)
	}
	if m := pickMachine(u, []*Machine{coming, fast}, nil); m != fast {
		t.Errorf("without the image it went to %s", m.ID)
	}
}

// TestGangIsPlacedWholeOrNotAtAll: for drawn machines and gangs next to arrays, no gang has
// a part of its tasks placed, none is spread over zones that must be in one, no machine
// takes more than it has, and no team more than its limit.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*Machine
		free := map[*Machine]Resources{}
		for i := rapid.IntRange(1, 12).Draw(t, "machines"); i > 0; i-- {
			m := machine(fmt.Sprint(i), float64(rapid.IntRange(0, 16).Draw(t, "cpus")))
			m.Size, m.Zone = Resources{CPUs: 16, Memory: 100}, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			machines, free[m] = append(machines, m), m.Free
		}
		var teams []*Team
		asked := map[*Unit]int{}
		for _, name := range []string{"a", "b"} {
			team := &Team{Name: name, Booked: map[string]Resources{}, MaxCPUs: float64(rapid.IntRange(4, 80).Draw(t, "limit"))}
			for i := rapid.IntRange(0, 5).Draw(t, "units"); i > 0; i-- {
				u := unit(fmt.Sprint(name, i), float64(rapid.IntRange(1, 8).Draw(t, "need")), rapid.IntRange(1, 12).Draw(t, "count"))
				u.Gang, u.OneZone, u.Overdue = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "oneZone"), rapid.Bool().Draw(t, "overdue")
				team.Units, asked[u] = append(team.Units, u), u.Count
			}
			teams = append(teams, team)
		}
		if rapid.Bool().Draw(t, "hold") {
			HoldRoom(teams, machines, 3)
		}
		got, zones, byTeam := map[*Unit]int{}, map[*Unit]map[string]bool{}, map[string]float64{}
		for _, p := range Run(teams, machines, map[string]Resources{"c": {CPUs: 96, Memory: 600}}, nil) {
			got[p.Unit]++
			if zones[p.Unit] == nil {
				zones[p.Unit] = map[string]bool{}
			}
			zones[p.Unit][p.Machine.Zone] = true
			free[p.Machine] = free[p.Machine].Add(p.Unit.Need, -1)
			byTeam[p.Team] += p.Unit.Need.CPUs
		}
		for u, n := range got {
			if u.Gang && n != asked[u] {
				t.Fatalf("%d of %d tasks of a gang are placed", n, asked[u])
			}
			if u.OneZone && len(zones[u]) > 1 {
				t.Fatalf("in zones %v", zones[u])
			}
		}
		for m, f := range free {
			if f.CPUs < -epsilon || f.CPUs != m.Free.CPUs {
				t.Fatalf("%s has %v left, thinks %v", m.ID, f.CPUs, m.Free.CPUs)
			}
		}
		for _, team := range teams {
			if byTeam[team.Name] > team.MaxCPUs+epsilon {
				t.Fatalf("%s has %v of %v", team.Name, byTeam[team.Name], team.MaxCPUs)
			}
		}
	})
}

// TestRoomIsHeldForOneGang: two gangs that have waited for long and fit nowhere as a whole
// don't each keep half of what one needs; the room is there once the held machines are free.
func TestRoomIsHeldForOneGang(t *testing.T) {
	var machines []*Machine
	for i := 0; i < 4; i++ {
		m := machine(fmt.Sprint(i), float64(2*i))
		m.Size = Resources{CPUs: 8, Memory: 100}
		machines = append(machines, m)
	}
	a, b := unit("a", 4, 4), unit("b", 4, 4)
	for _, u := range []*Unit{a, b} {
		u.Gang, u.Overdue = true, true
	}
	team := &Team{Name: "t", Booked: map[string]Resources{}, Units: []*Unit{a, b}}
	held := HoldRoom([]*Team{team}, machines, 2)
	if len(held) != 2 || !held["3"] || !held["2"] {
		t.Errorf("held %v, want the two machines with most room", held)
	}
	for _, m := range machines {
		if held[m.ID] && m.reservedFor != "a" {
			t.Errorf("%s is held for %s", m.ID, m.reservedFor)
		}
	}
	fill := unit("c", 1, 100)
	Run([]*Team{{Name: "o", Booked: map[string]Resources{}, Units: []*Unit{fill}}}, machines, nil, nil)
	for _, m := range machines {
		if held[m.ID] {
			m.Free.CPUs = 8 // what ran there has ended
		}
	}
	if ps := Run([]*Team{team}, machines, nil, nil); len(ps) != 4 || a.Count != 0 {
		t.Errorf("%d placed", len(ps))
	}
}

// TestReturnMakesRoomForWholeGangs checks drawn inputs: what a gang within its team's
// guarantee claims makes room for all its tasks, in one zone if it must be in one, and takes
// no team below its own guarantee; or it claims nothing.
func TestReturnMakesRoomForWholeGangs(t *testing.T) {
	claimed := 0
	rapid.Check(t, func(t *rapid.T) {
		owner := &Team{Name: "owner", Booked: map[string]Resources{}, Guarantee: Resources{CPUs: float64(rapid.IntRange(8, 64).Draw(t, "guarantee"))}}
		lenders := []*Team{
			{Name: "guest", Booked: map[string]Resources{}},
			{Name: "other", Booked: map[string]Resources{}, Guarantee: Resources{CPUs: float64(rapid.IntRange(8, 40).Draw(t, "other's guarantee"))}},
		}
		var machines []*Machine
		var loans []Preemptible
		booked := map[string]float64{}
		for i := rapid.IntRange(2, 8).Draw(t, "machines"); i > 0; i-- {
			m := machine(fmt.Sprint("m", i), float64(rapid.IntRange(0, 6).Draw(t, "free")))
			m.Size, m.Zone = Resources{CPUs: 16, Memory: 100}, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			machines = append(machines, m)
			for left := m.Size.CPUs - m.Free.CPUs; left >= 1; {
				cpus := float64(rapid.IntRange(1, int(left)).Draw(t, "cpus"))
				left -= cpus
				lender := lenders[rapid.IntRange(0, 1).Draw(t, "lender")]
				lender.Booked["c"] = lender.Booked["c"].Add(Resources{CPUs: cpus}, 1)
				booked[lender.Name] += cpus
				if rapid.IntRange(0, 3).Draw(t, "saves") > 0 {
					loans = append(loans, Preemptible{ID: len(loans), Team: lender.Name, Machine: m, Need: Resources{CPUs: cpus}})
				}
			}
		}
		gang := unit("gang", float64(rapid.IntRange(1, 8).Draw(t, "need")), rapid.IntRange(2, 6).Draw(t, "count"))
		gang.Gang, gang.OneZone = true, rapid.Bool().Draw(t, "one zone")
		gang.ByZone = map[string]int{}
		owner.Units = []*Unit{gang}
		claims := Preempt(append(lenders, owner), machines, loans, map[string]int{}, len(machines))
		if len(claims) == 0 {
			return
		}
		claimed++
		if gang.Need.CPUs*float64(gang.Count) > owner.Guarantee.CPUs+epsilon {
			t.Fatal("a gang beyond its team's guarantee claims room")
		}
		fits, zones, used := 0, map[string]bool{}, map[int]bool{}
		largest := map[string]float64{} // loan taken, by team
		for _, c := range claims {
			free := c.Machine.Free
			for _, l := range c.Victims {
				if l.Machine != c.Machine || used[l.ID] {
					t.Fatalf("loan %d is not on %s, or is taken twice", l.ID, c.Machine.ID)
				}
				used[l.ID] = true
				free = free.Add(l.Need, 1)
				booked[l.Team] -= l.Need.CPUs
				largest[l.Team] = max(largest[l.Team], l.Need.CPUs)
			}
			fits += gang.Need.CountIn(free)
			zones[c.Machine.Zone] = true
		}
		if fits < gang.Count {
			t.Fatalf("room for %d of %d tasks", fits, gang.Count)
		}
		if gang.OneZone && len(zones) > 1 {
			t.Fatalf("in zones %v", zones)
		}
		for _, lender := range lenders {
			// Only the last loan may cross the bound, as for single tasks.
			if last := largest[lender.Name]; last > 0 && booked[lender.Name]+last <= lender.Guarantee.CPUs {
				t.Fatalf("%s is left with %v of %v", lender.Name, booked[lender.Name], lender.Guarantee.CPUs)
			}
		}
	})
	if claimed < 20 {
		t.Errorf("only %d claims: the draw shows little", claimed)
	}
}
