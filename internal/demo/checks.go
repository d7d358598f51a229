package demo

// checkVersions checks the guarantees on configuration.
func (s *scenario) checkVersions(monitor *versionMonitor) {
	s.guarantees.check(monitor.regressions == 0, "no proxy ever goes back to an older version",
		"%d times a node was seen at an older ticket", monitor.regressions)
	total := s.totalCounts()
	s.guarantees.check(monitor.danglingReferences == 0 && total.noRoute == 0, "no route points at a resource that the proxy lacks",
		"%d configurations with a dangling route, %d calls without a route", monitor.danglingReferences, total.noRoute)
	s.guarantees.check(s.maxConvergence <= convergeTarget, "an accepted ticket is in force everywhere within seconds",
		"slowest %s from filed to in force on every node", s.maxConvergence.Round(waitInterval))
}

// checkCalls checks the guarantees on calls.
func (s *scenario) checkCalls() {
	runs := s.runs()
	inaccurate, executed, twice := 0, 0, 0
	for _, phase := range s.phases {
		inaccurate += s.countRun(phase.stats.notRunIDs())
		for _, id := range phase.stats.nonIdempotentIDs() {
			if runs[id] > 0 {
				executed++
			}
			if runs[id] > 1 {
				twice++
			}
		}
	}
	total := s.totalCounts()
	s.guarantees.check(total.done > 0 && total.incorrect == 0, "a caller gets the whole answer to its own request",
		"%d answers, %d of them wrong", total.done, total.incorrect)
	s.guarantees.check(inaccurate == 0, `a refusal that says "not run" is true`,
		"%d refusals, %d of them untrue", total.notRun, inaccurate)
	s.guarantees.check(executed > 0 && twice == 0, "a non-idempotent request runs at most once",
		"%d requests ran, %d of them twice", executed, twice)
}

// runs returns the number of runs of each call on all backend servers.
func (s *scenario) runs() map[string]int {
	sum := make(map[string]int)
	for _, backend := range s.fleet.backends {
		for id, count := range backend.RunsByKey() {
			sum[id] += count
		}
	}
	return sum
}

// totalCounts returns the sum of the counts of all phases.
func (s *scenario) totalCounts() counts {
	var sum counts
	for _, phase := range s.phases {
		sum = sum.plus(phase.stats.total())
	}
	return sum
}

// countRun returns how many of the calls with the ids have run.
func (s *scenario) countRun(ids []string) int {
	runs := s.runs()
	count := 0
	for _, id := range ids {
		if runs[id] > 0 {
			count++
		}
	}
	return count
}
