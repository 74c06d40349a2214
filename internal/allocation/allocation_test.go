package allocation

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run draws the same inputs.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// allClasses is the set of the machine classes in these tests.
var allClasses = map[string]bool{"c": true, "d": true}

// newUnit returns a unit of equal tasks that may run on any machine.
func newUnit(job string, cpus float64, tasks int) *Unit {
	return &Unit{Job: job, Need: Resources{CPUs: cpus, Memory: 1}, Count: tasks, Tasks: tasks, Classes: allClasses, Spot: true, PlacedByZone: map[string]int{}}
}

// newMachine returns a machine of class c in zone z with the given free CPUs.
func newMachine(id string, cpus float64) *Machine {
	return &Machine{ID: id, Class: "c", Zone: "z", Free: Resources{CPUs: cpus, Memory: 100}}
}

// countPlacements returns the number of a team's placements.
func countPlacements(placements []Placement, team string) (n int) {
	for _, placement := range placements {
		if placement.Team == team {
			n++
		}
	}
	return n
}

// TestLowestShareGoesFirst checks that free CPUs go to the team with the lowest share of the cloud,
// until the shares are equal.
func TestLowestShareGoesFirst(t *testing.T) {
	a := &Team{Name: "a", Allocated: map[string]Resources{"c": {CPUs: 4}}, Units: []*Unit{newUnit("ja", 1, 20)}}
	b := &Team{Name: "b", Allocated: map[string]Resources{}, Units: []*Unit{newUnit("jb", 1, 20)}}
	placements := Run([]*Team{a, b}, []*Machine{newMachine("m", 12)}, map[string]Resources{"c": {CPUs: 16, Memory: 100}}, nil)
	if len(placements) != 12 || countPlacements(placements, "a") != 4 || countPlacements(placements, "b") != 8 {
		t.Errorf("a got %d placements and b got %d; want 4 and 8, which give both teams 8 CPUs", countPlacements(placements, "a"), countPlacements(placements, "b"))
	}
}

// TestGuaranteePrecedesShareAndLimitCaps checks that a team below its guarantee comes first even if
// its share is higher, and that a team stays within its limit. CPUs that may be in use by tasks
// whose location is unknown count towards the limit.
func TestGuaranteePrecedesShareAndLimitCaps(t *testing.T) {
	a := &Team{Name: "a", Allocated: map[string]Resources{"c": {CPUs: 4}}, Guarantee: Resources{CPUs: 8}, Units: []*Unit{newUnit("ja", 1, 20)}}
	b := &Team{Name: "b", Allocated: map[string]Resources{}, MaxCPUs: 3, UnknownUse: Resources{CPUs: 1}, Guarantee: Resources{CPUs: 0.5}, Units: []*Unit{newUnit("jb", 1, 20)}}
	placements := Run([]*Team{a, b}, []*Machine{newMachine("m", 8)}, map[string]Resources{"c": {CPUs: 16, Memory: 100}}, nil)
	for i := 0; i < 4; i++ {
		if placements[i].Team != "a" {
			t.Errorf("placement %d is for team %s while team a is below its guarantee", i, placements[i].Team)
		}
	}
	if countPlacements(placements, "b") != 2 {
		t.Errorf("b got %d placements; want 2: its limit is 3 CPUs and 1 may be in use by tasks whose location is unknown", countPlacements(placements, "b"))
	}
}

// TestTeamsWithoutGuaranteeUseWhatIsLeft checks that team guest, which has no guarantee, starts
// nothing while a team with a guarantee has units that fit, even if the share of team guest is
// lower. After that, team guest uses all that is left.
func TestTeamsWithoutGuaranteeUseWhatIsLeft(t *testing.T) {
	a := &Team{Name: "a", Allocated: map[string]Resources{"c": {CPUs: 8}}, Guarantee: Resources{CPUs: 4}, Units: []*Unit{newUnit("ja", 3, 2)}}
	guest := &Team{Name: "guest", Allocated: map[string]Resources{}, Units: []*Unit{newUnit("jg", 1, 20)}}
	placements := Run([]*Team{guest, a}, []*Machine{newMachine("m", 8)}, map[string]Resources{"c": {CPUs: 16, Memory: 100}}, nil)
	if len(placements) != 4 || placements[0].Team != "a" || placements[1].Team != "a" || countPlacements(placements, "guest") != 2 {
		t.Errorf("%d placements, %d of team a and %d of team guest", len(placements), countPlacements(placements, "a"), countPlacements(placements, "guest"))
	}
}

// TestLowPriorityUsesWhatIsLeft checks that, where no team has a guarantee, low-priority units
// start only after all others. Among the others, the lowest share comes first.
func TestLowPriorityUsesWhatIsLeft(t *testing.T) {
	a := &Team{Name: "a", Allocated: map[string]Resources{"c": {CPUs: 8}}, Units: []*Unit{newUnit("ja", 3, 2)}}
	guest := &Team{Name: "guest", Allocated: map[string]Resources{}, Units: []*Unit{newUnit("jg", 1, 1), newUnit("jl", 1, 20)}}
	guest.Units[1].LowPriority = true
	placements := Run([]*Team{guest, a}, []*Machine{newMachine("m", 9)}, map[string]Resources{"c": {CPUs: 17, Memory: 100}}, nil)
	if len(placements) != 5 || placements[0].Unit.Job != "jg" || placements[1].Team != "a" || placements[2].Team != "a" || countPlacements(placements, "guest") != 3 {
		t.Errorf("%d placements, %d of team a and %d of team guest", len(placements), countPlacements(placements, "a"), countPlacements(placements, "guest"))
	}
}

// TestPreemptTakesOnlyBorrowed draws teams, preemptible tasks and units. It checks that each
// preemption makes its unit fit, takes tasks only from other teams that exceed their guarantee,
// and serves a unit within its team's guarantee or, by preempting low-priority tasks, an urgent
// unit. A unit must not preempt for tasks for which resources are already being freed.
func TestPreemptTakesOnlyBorrowed(t *testing.T) {
	preemptions, urgentPreemptions := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var teams []*Team
		byName := map[string]*Team{}
		for _, name := range []string{"a", "b", "guest"} {
			team := &Team{Name: name, Allocated: map[string]Resources{}}
			if name != "guest" {
				team.Guarantee = Resources{CPUs: float64(rapid.IntRange(4, 40).Draw(t, "guarantee"))}
			}
			teams, byName[name] = append(teams, team), team
		}
		var candidates []Preemptible
		var machines []*Machine
		for i := rapid.IntRange(1, 6).Draw(t, "machines"); i > 0; i-- {
			machine := newMachine(fmt.Sprint("m", i), 0)
			machines = append(machines, machine)
			machine.Capacity = Resources{CPUs: 16, Memory: 100}
			free := 16.0
			for free > 0 {
				cpus := float64(rapid.IntRange(1, 5).Draw(t, "cpus"))
				if cpus > free {
					break
				}
				free -= cpus
				team := teams[rapid.IntRange(0, 2).Draw(t, "team")]
				team.Allocated["c"] = team.Allocated["c"].Add(Resources{CPUs: cpus, Memory: 1}, 1)
				if rapid.Bool().Draw(t, "saves") {
					candidates = append(candidates, Preemptible{ID: len(candidates), Team: team.Name, Machine: machine, Need: Resources{CPUs: cpus, Memory: 1}, LowPriority: rapid.Bool().Draw(t, "low")})
				}
			}
			machine.Free = Resources{CPUs: free, Memory: 50}
		}
		pendingPreemptions := map[string]int{}
		for _, team := range teams {
			for k := 0; k < 2; k++ {
				u := newUnit(fmt.Sprintf("j%s%d", team.Name, k), float64(rapid.IntRange(5, 16).Draw(t, "need")), 3)
				u.Urgent = rapid.Bool().Draw(t, "urgent")
				pendingPreemptions[u.Job] = rapid.IntRange(0, 3).Draw(t, "pending")
				team.Units = append(team.Units, u)
			}
		}
		maxMachines := rapid.IntRange(0, 4).Draw(t, "most")
		initialPending := map[string]int{}
		for job, tasks := range pendingPreemptions {
			initialPending[job] = tasks
		}
		total := map[string]float64{}
		for _, team := range teams {
			total[team.Name] = team.total().CPUs
		}
		preemptedTasks, servedTasks := map[int]bool{}, map[string]int{}
		preemptionList := Preempt(teams, machines, candidates, pendingPreemptions, maxMachines)
		if len(preemptionList) > maxMachines {
			t.Fatalf("%d preemptions, at most %d allowed", len(preemptionList), maxMachines)
		}
		for _, preemption := range preemptionList {
			preemptions++
			preemptingTeam := byName[preemption.Unit.Job[1:len(preemption.Unit.Job)-1]]
			withinGuarantee := preemptingTeam.Guarantee.CPUs > 0 && preemptingTeam.total().CPUs+preemption.Unit.Need.CPUs <= preemptingTeam.Guarantee.CPUs
			free := preemption.Machine.Free
			for _, victim := range preemption.Victims {
				if victim.Team == preemptingTeam.Name || preemptedTasks[victim.ID] || victim.Machine != preemption.Machine {
					t.Fatalf("team %s preempts task %d of team %s, which is its own task, is preempted twice, or is on another machine", preemptingTeam.Name, victim.ID, victim.Team)
				}
				if !withinGuarantee && !(preemption.Unit.Urgent && victim.LowPriority) {
					t.Fatalf("team %s preempts beyond its guarantee", preemptingTeam.Name)
				}
				if total[victim.Team] <= byName[victim.Team].Guarantee.CPUs {
					t.Fatalf("a task of team %s is preempted although the team does not exceed its guarantee", victim.Team)
				}
				preemptedTasks[victim.ID] = true
				total[victim.Team] -= victim.Need.CPUs
				free = free.Add(victim.Need, 1)
			}
			if !withinGuarantee {
				urgentPreemptions++
			}
			if !preemption.Unit.Need.Fits(free) {
				t.Fatal("the unit does not fit after its preemption")
			}
			if servedTasks[preemption.Unit.Job]++; servedTasks[preemption.Unit.Job]+initialPending[preemption.Unit.Job] > preemption.Unit.Count {
				t.Fatalf("%s preempts for more tasks than it has", preemption.Unit.Job)
			}
		}
	})
	if preemptions < 20 || urgentPreemptions < 5 {
		t.Errorf("only %d preemptions, %d of them for urgent units: the drawn inputs test too little", preemptions, urgentPreemptions)
	}
}

// TestPickMachineAvoidsLargeMachinesAndReusesImages checks that a small task is not placed on a
// machine that a large unit could use, even if only that machine has the task's image. If no large
// unit needs the machine, the machine with the image must be picked.
func TestPickMachineAvoidsLargeMachinesAndReusesImages(t *testing.T) {
	small, large := newMachine("small", 8), newMachine("large", 16)
	small.Class = "d"
	unit := newUnit("j", 2, 1)
	unit.Image = "i"
	large.Images = map[string]bool{"i": true}
	largestNeed := map[string]Resources{"c": {CPUs: 16}, "d": {CPUs: 2, Memory: 1}}
	if m := pickMachine(unit, []*Machine{large, small}, largestNeed); m != small {
		t.Errorf("a small task was placed on %s, where a large unit no longer fits", m.ID)
	}
	if m := pickMachine(unit, []*Machine{small, large}, nil); m != large {
		t.Errorf("got %s, want large: it has the image", m.ID)
	}
}

// TestRunRespectsConstraints checks with drawn inputs that no machine is overcommitted, no team
// exceeds its limit, no task runs where its job does not allow it, and no unit that fits is left.
func TestRunRespectsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*Machine
		freeCPUs := map[string]float64{}
		for i := 0; i < rapid.IntRange(1, 6).Draw(t, "machines"); i++ {
			m := newMachine(fmt.Sprint("m", i), float64(rapid.IntRange(0, 16).Draw(t, "cpus")))
			m.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			m.Spot = rapid.Bool().Draw(t, "spot")
			machines = append(machines, m)
			freeCPUs[m.ID] = m.Free.CPUs
		}
		var teams []*Team
		for i := 0; i < rapid.IntRange(1, 3).Draw(t, "teams"); i++ {
			team := &Team{Name: fmt.Sprint("t", i), Allocated: map[string]Resources{}, MaxCPUs: float64(rapid.IntRange(0, 30).Draw(t, "max"))}
			for k := 0; k < rapid.IntRange(0, 3).Draw(t, "jobs"); k++ {
				u := newUnit(fmt.Sprint("j", i, k), float64(rapid.IntRange(1, 8).Draw(t, "need")), rapid.IntRange(1, 6).Draw(t, "count"))
				u.Spot, u.OneZone, u.Spread = rapid.Bool().Draw(t, "allowSpot"), rapid.Bool().Draw(t, "oneZone"), rapid.Bool().Draw(t, "spread")
				team.Units = append(team.Units, u)
			}
			teams = append(teams, team)
		}
		placements := Run(teams, machines, map[string]Resources{"c": {CPUs: 96, Memory: 600}}, nil)
		usedCPUs, byTeam, zones := map[string]float64{}, map[string]float64{}, map[*Unit]map[string]int{}
		for _, placement := range placements {
			usedCPUs[placement.Machine.ID] += placement.Unit.Need.CPUs
			byTeam[placement.Team] += placement.Unit.Need.CPUs
			if zones[placement.Unit] == nil {
				zones[placement.Unit] = map[string]int{}
			}
			zones[placement.Unit][placement.Machine.Zone]++
			if placement.Machine.Spot && !placement.Unit.Spot {
				t.Fatalf("a task of %s is on a spot machine, which its job does not allow", placement.Unit.Job)
			}
		}
		for id, cpus := range usedCPUs {
			if cpus > freeCPUs[id] {
				t.Fatalf("machine %s runs tasks of %v CPUs and had %v free", id, cpus, freeCPUs[id])
			}
		}
		for _, team := range teams {
			if team.MaxCPUs > 0 && byTeam[team.Name] > team.MaxCPUs {
				t.Fatalf("team %s uses %v CPUs, its limit is %v", team.Name, byTeam[team.Name], team.MaxCPUs)
			}
			for _, unit := range team.Units {
				for _, tasks := range zones[unit] {
					if unit.Spread && tasks > (unit.Tasks+1)/2 || unit.OneZone && len(zones[unit]) > 1 {
						t.Fatalf("the tasks of %s by zone are %v, of %d in total", unit.Job, zones[unit], unit.Tasks)
					}
				}
				if unit.Count > 0 && team.underLimit(team.total(), unit.Need) && pickMachine(unit, machines, nil) != nil {
					t.Fatalf("a unit of %s was not placed although it fits", unit.Job)
				}
			}
		}
	})
}

// TestMachineIsReservedForOverdueUnit checks that the machine that comes closest to fitting an
// overdue unit is reserved for it, and that small units are not placed there.
func TestMachineIsReservedForOverdueUnit(t *testing.T) {
	a, b := newMachine("a", 3), newMachine("b", 6)
	a.Capacity, b.Capacity = Resources{CPUs: 8, Memory: 100}, Resources{CPUs: 8, Memory: 100}
	big := newUnit("big", 8, 2)
	big.Overdue = true
	teams := []*Team{{Name: "t", Allocated: map[string]Resources{}, Units: []*Unit{big, newUnit("small", 1, 20)}}}
	reserved := ReserveForOverdue(teams, []*Machine{a, b}, 1)
	if len(reserved) != 1 || !reserved["b"] {
		t.Fatalf("reserved %v, want b", reserved)
	}
	for _, placement := range Run(teams, []*Machine{a, b}, map[string]Resources{"c": {CPUs: 16, Memory: 200}}, nil) {
		if placement.Machine == b {
			t.Errorf("a task of %s was placed on the reserved machine", placement.Unit.Job)
		}
	}
	b.Free = b.Capacity
	if placements := Run(teams, []*Machine{a, b}, map[string]Resources{"c": {CPUs: 16, Memory: 200}}, nil); len(placements) != 1 || placements[0].Unit != big || placements[0].Machine != b {
		t.Errorf("got placements %v, want one task of the overdue unit on b", placements)
	}
}

// TestStartTargetAvoidsImageFetch checks that a unit with a start target is not placed on a
// machine that has just begun to fetch the image while another machine has it.
func TestStartTargetAvoidsImageFetch(t *testing.T) {
	fetchingMachine, machineWithImage, fastMachine := newMachine("coming", 2), newMachine("there", 8), newMachine("fast", 16)
	fetchingMachine.Images, machineWithImage.Images = map[string]bool{"i": false}, map[string]bool{"i": true}
	fetchingMachine.Busy, fastMachine.FetchGBps = true, 1
	unit := newUnit("j", 2, 1)
	unit.Image, unit.ImageGB = "i", 2
	if m := pickMachine(unit, []*Machine{fetchingMachine, machineWithImage, fastMachine}, nil); m != fetchingMachine {
		t.Errorf("without a start target the unit was placed on %s", m.ID)
	}
	unit.StartWithin = 4
	if m := pickMachine(unit, []*Machine{fetchingMachine, machineWithImage, fastMachine}, nil); m != machineWithImage {
		t.Errorf("with a start target the unit was placed on %s", m.ID)
	}
	if m := pickMachine(unit, []*Machine{fetchingMachine, fastMachine}, nil); m != fastMachine {
		t.Errorf("with a start target and no machine that has the image, the unit was placed on %s", m.ID)
	}
}

// TestGangIsPlacedWholeOrNotAtAll checks with drawn machines, gangs and array jobs that no gang is
// placed in part, no job that must be in one zone uses several, no machine is overcommitted, and no
// team exceeds its limit.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*Machine
		free := map[*Machine]Resources{}
		for i := rapid.IntRange(1, 12).Draw(t, "machines"); i > 0; i-- {
			m := newMachine(fmt.Sprint(i), float64(rapid.IntRange(0, 16).Draw(t, "cpus")))
			m.Capacity, m.Zone = Resources{CPUs: 16, Memory: 100}, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			machines, free[m] = append(machines, m), m.Free
		}
		var teams []*Team
		requestedTasks := map[*Unit]int{}
		for _, name := range []string{"a", "b"} {
			team := &Team{Name: name, Allocated: map[string]Resources{}, MaxCPUs: float64(rapid.IntRange(4, 80).Draw(t, "limit"))}
			for i := rapid.IntRange(0, 5).Draw(t, "units"); i > 0; i-- {
				u := newUnit(fmt.Sprint(name, i), float64(rapid.IntRange(1, 8).Draw(t, "need")), rapid.IntRange(1, 12).Draw(t, "count"))
				u.Gang, u.OneZone, u.Overdue = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "oneZone"), rapid.Bool().Draw(t, "overdue")
				team.Units, requestedTasks[u] = append(team.Units, u), u.Count
			}
			teams = append(teams, team)
		}
		if rapid.Bool().Draw(t, "hold") {
			ReserveForOverdue(teams, machines, 3)
		}
		placedTasks, zones, byTeam := map[*Unit]int{}, map[*Unit]map[string]bool{}, map[string]float64{}
		for _, placement := range Run(teams, machines, map[string]Resources{"c": {CPUs: 96, Memory: 600}}, nil) {
			placedTasks[placement.Unit]++
			if zones[placement.Unit] == nil {
				zones[placement.Unit] = map[string]bool{}
			}
			zones[placement.Unit][placement.Machine.Zone] = true
			free[placement.Machine] = free[placement.Machine].Add(placement.Unit.Need, -1)
			byTeam[placement.Team] += placement.Unit.Need.CPUs
		}
		for unit, tasks := range placedTasks {
			if unit.Gang && tasks != requestedTasks[unit] {
				t.Fatalf("%d of %d tasks of a gang are placed", tasks, requestedTasks[unit])
			}
			if unit.OneZone && len(zones[unit]) > 1 {
				t.Fatalf("a job that must be in one zone has tasks in zones %v", zones[unit])
			}
		}
		for m, left := range free {
			if left.CPUs < -epsilon || left.CPUs != m.Free.CPUs {
				t.Fatalf("machine %s has %v CPUs left according to the placements, and %v in Free", m.ID, left.CPUs, m.Free.CPUs)
			}
		}
		for _, team := range teams {
			if byTeam[team.Name] > team.MaxCPUs+epsilon {
				t.Fatalf("team %s uses %v CPUs, its limit is %v", team.Name, byTeam[team.Name], team.MaxCPUs)
			}
		}
	})
}

// TestMachinesAreReservedForOneGangAtATime checks that, of two overdue gangs that fit nowhere as a
// whole, only one has machines reserved. If machines were reserved for both gangs, each gang could
// block half of the machines that the other needs, and neither gang would start. The gang with the
// reservation must fit once the reserved machines are free.
func TestMachinesAreReservedForOneGangAtATime(t *testing.T) {
	var machines []*Machine
	for i := 0; i < 4; i++ {
		m := newMachine(fmt.Sprint(i), float64(2*i))
		m.Capacity = Resources{CPUs: 8, Memory: 100}
		machines = append(machines, m)
	}
	a, b := newUnit("a", 4, 4), newUnit("b", 4, 4)
	for _, u := range []*Unit{a, b} {
		u.Gang, u.Overdue = true, true
	}
	team := &Team{Name: "t", Allocated: map[string]Resources{}, Units: []*Unit{a, b}}
	reservedMachines := ReserveForOverdue([]*Team{team}, machines, 2)
	if len(reservedMachines) != 2 || !reservedMachines["3"] || !reservedMachines["2"] {
		t.Errorf("reserved %v, want the two machines with the most free CPUs", reservedMachines)
	}
	for _, m := range machines {
		if reservedMachines[m.ID] && m.reservedFor != "a" {
			t.Errorf("machine %s is reserved for %s", m.ID, m.reservedFor)
		}
	}
	small := newUnit("c", 1, 100)
	Run([]*Team{{Name: "o", Allocated: map[string]Resources{}, Units: []*Unit{small}}}, machines, nil, nil)
	for _, m := range machines {
		if reservedMachines[m.ID] {
			m.Free.CPUs = 8 // the machine's previous tasks have ended
		}
	}
	if placements := Run([]*Team{team}, machines, nil, nil); len(placements) != 4 || a.Count != 0 {
		t.Errorf("%d tasks placed, want the whole gang of 4", len(placements))
	}
}

// TestPreemptFreesResourcesForWholeGangs checks with drawn inputs that a gang preempts either
// nothing or enough for all of its tasks, in one zone if its tasks must be in one zone. A gang must
// not preempt beyond its team's guarantee. Only the last victim of a team may take that team below
// its own guarantee.
func TestPreemptFreesResourcesForWholeGangs(t *testing.T) {
	preemptingInputs := 0
	rapid.Check(t, func(t *rapid.T) {
		gangTeam := &Team{Name: "owner", Allocated: map[string]Resources{}, Guarantee: Resources{CPUs: float64(rapid.IntRange(8, 64).Draw(t, "guarantee"))}}
		borrowers := []*Team{
			{Name: "guest", Allocated: map[string]Resources{}},
			{Name: "other", Allocated: map[string]Resources{}, Guarantee: Resources{CPUs: float64(rapid.IntRange(8, 40).Draw(t, "other's guarantee"))}},
		}
		var machines []*Machine
		var candidates []Preemptible
		allocatedCPUs := map[string]float64{}
		for i := rapid.IntRange(2, 8).Draw(t, "machines"); i > 0; i-- {
			machine := newMachine(fmt.Sprint("m", i), float64(rapid.IntRange(0, 6).Draw(t, "free")))
			machine.Capacity, machine.Zone = Resources{CPUs: 16, Memory: 100}, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			machines = append(machines, machine)
			for left := machine.Capacity.CPUs - machine.Free.CPUs; left >= 1; {
				cpus := float64(rapid.IntRange(1, int(left)).Draw(t, "cpus"))
				left -= cpus
				borrower := borrowers[rapid.IntRange(0, 1).Draw(t, "borrower")]
				borrower.Allocated["c"] = borrower.Allocated["c"].Add(Resources{CPUs: cpus}, 1)
				allocatedCPUs[borrower.Name] += cpus
				if rapid.IntRange(0, 3).Draw(t, "saves") > 0 {
					candidates = append(candidates, Preemptible{ID: len(candidates), Team: borrower.Name, Machine: machine, Need: Resources{CPUs: cpus}})
				}
			}
		}
		gang := newUnit("gang", float64(rapid.IntRange(1, 8).Draw(t, "need")), rapid.IntRange(2, 6).Draw(t, "count"))
		gang.Gang, gang.OneZone = true, rapid.Bool().Draw(t, "one zone")
		gang.PlacedByZone = map[string]int{}
		gangTeam.Units = []*Unit{gang}
		preemptions := Preempt(append(borrowers, gangTeam), machines, candidates, map[string]int{}, len(machines))
		if len(preemptions) == 0 {
			return
		}
		preemptingInputs++
		if gang.Need.CPUs*float64(gang.Count) > gangTeam.Guarantee.CPUs+epsilon {
			t.Fatal("a gang beyond its team's guarantee preempts tasks")
		}
		fits, zones, preemptedTasks := 0, map[string]bool{}, map[int]bool{}
		largest := map[string]float64{} // CPUs of the largest victim, by team
		for _, preemption := range preemptions {
			free := preemption.Machine.Free
			for _, victim := range preemption.Victims {
				if victim.Machine != preemption.Machine || preemptedTasks[victim.ID] {
					t.Fatalf("task %d is not on machine %s, or is preempted twice", victim.ID, preemption.Machine.ID)
				}
				preemptedTasks[victim.ID] = true
				free = free.Add(victim.Need, 1)
				allocatedCPUs[victim.Team] -= victim.Need.CPUs
				largest[victim.Team] = max(largest[victim.Team], victim.Need.CPUs)
			}
			fits += gang.Need.CountIn(free)
			zones[preemption.Machine.Zone] = true
		}
		if fits < gang.Count {
			t.Fatalf("%d of %d tasks of the gang fit after the preemptions", fits, gang.Count)
		}
		if gang.OneZone && len(zones) > 1 {
			t.Fatalf("the gang must be in one zone and preempts in zones %v", zones)
		}
		for _, borrower := range borrowers {
			// As in preemption for single tasks, only the last victim of a team may take the team
			// below its guarantee. The check allows for the largest victim, since any victim may
			// have been the last.
			if last := largest[borrower.Name]; last > 0 && allocatedCPUs[borrower.Name]+last <= borrower.Guarantee.CPUs {
				t.Fatalf("team %s is left with %v CPUs, its guarantee is %v", borrower.Name, allocatedCPUs[borrower.Name], borrower.Guarantee.CPUs)
			}
		}
	})
	if preemptingInputs < 20 {
		t.Errorf("preemptions with only %d of the drawn inputs: they test too little", preemptingInputs)
	}
}
