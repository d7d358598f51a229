package faults

// faultPairNames lists pairs of faults that interact: each affects how the
// system recovers from the other.
var faultPairNames = [][2]string{
	{"source down", "herd dies and comes back"},
	{"source stale", "herd dies and comes back"},
	{"source stale", "process dies"},
	{"updates cross", "message late"},
	{"updates cross", "process dies"},
	{"partition from both", "drain"},
	{"partition from peers", "source stale"},
	{"partition from peers", "crashing request"},
	{"flood of the most urgent", "process dies"},
	{"flood of the least urgent", "backend server crash"},
	{"pause and late wake", "drain"},
	{"message cut", "crashing request"},
	{"message lost", "backend server crash"},
	{"host list wrong", "herd dies and comes back"},
}

// Pairs returns the pairs of interacting faults.
func Pairs() [][2]Fault {
	byName := make(map[string]Fault)
	for _, fault := range Faults() {
		byName[fault.Name] = fault
	}
	pairs := make([][2]Fault, 0, len(faultPairNames))
	for _, names := range faultPairNames {
		pairs = append(pairs, [2]Fault{byName[names[0]], byName[names[1]]})
	}
	return pairs
}
