package bench

import "fmt"

// Units of results.
const (
	unitMilliseconds   = "ms"
	unitBytesPerSecond = "B/s"
	unitReadsPerSecond = "reads/s"
	unitReads          = "reads"
	unitCallsPerSecond = "calls/s"
	unitPercent        = "%"
	unitCount          = "count"
	unitMebibytes      = "MiB"
	unitBytes          = "B"
	unitSeconds        = "s"
	unitCores          = "cores"
	unitShare          = "share"
	// unitAsMeasured is the unit of the figure, or that a unit of the sweep.
	unitAsMeasured = "as measured"
)

// below returns a result whose value has to be under a bound.
func below(name string, value, bound float64, unit string) Result {
	met := value < bound
	return Result{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf("< %g", bound), Met: &met}
}

// atMost returns a result whose value must not exceed a bound.
func atMost(name string, value, bound float64, unit string) Result {
	met := value <= bound
	return Result{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf("<= %g", bound), Met: &met}
}

// atLeast returns a result whose value must not be under a bound.
func atLeast(name string, value, bound float64, unit string) Result {
	met := value >= bound
	return Result{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf(">= %g", bound), Met: &met}
}

// plain returns a result without a target.
func plain(name string, value float64, unit string) Result {
	return Result{Name: name, Value: value, Unit: unit}
}

// prefixed puts the same words in front of the names of results.
func prefixed(prefix string, results []Result) []Result {
	for i := range results {
		results[i].Name = prefix + " " + results[i].Name
	}
	return results
}
