package demo

// lookAtVersions looks at the promises on configuration.
func (s *show) lookAtVersions(watch *versionWatch) {
	s.promises.look(watch.wentBack == 0, "no proxy ever goes back to an older version",
		"%d times a node was seen at an older ticket", watch.wentBack)
	total := s.usual()
	s.promises.look(watch.dangling == 0 && total.noRoute == 0, "no route points at a resource that the proxy lacks",
		"%d configurations with a dangling route, %d calls without a route", watch.dangling, total.noRoute)
	s.promises.look(s.slowest <= convergeTarget, "an accepted ticket is in force everywhere within seconds",
		"slowest %s from filed to in force on every node", s.slowest.Round(waitInterval))
}

// lookAtCalls looks at the promises on calls.
func (s *show) lookAtCalls() {
	runs := s.runs()
	untrue, once, twice := 0, 0, 0
	for _, phase := range s.phases {
		untrue += s.ran(phase.tally.notRunIDs())
		for _, id := range phase.tally.onceIDs() {
			if runs[id] > 0 {
				once++
			}
			if runs[id] > 1 {
				twice++
			}
		}
	}
	total := s.usual()
	s.promises.look(total.done > 0 && total.wrong == 0, "a caller gets the whole answer to its own request",
		"%d answers, %d of them wrong", total.done, total.wrong)
	s.promises.look(untrue == 0, `a refusal that says "not run" is true`,
		"%d refusals, %d of them untrue", total.notRun, untrue)
	s.promises.look(once > 0 && twice == 0, "a non-idempotent request runs at most once",
		"%d requests ran, %d of them twice", once, twice)
}

// runs returns how often each call has run on all backend servers.
func (s *show) runs() map[string]int {
	sum := make(map[string]int)
	for _, backend := range s.fleet.backends {
		for id, count := range backend.RunsByKey() {
			sum[id] += count
		}
	}
	return sum
}

// usual returns the counts of all phases.
func (s *show) usual() counts {
	var sum counts
	for _, phase := range s.phases {
		sum = sum.plus(phase.tally.total())
	}
	return sum
}

// ran counts the calls among ids that a backend server has run.
func (s *show) ran(ids []string) int {
	runs := s.runs()
	count := 0
	for _, id := range ids {
		if runs[id] > 0 {
			count++
		}
	}
	return count
}
