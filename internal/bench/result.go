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
	// unitAsMeasured is the unit of the figure, or of the figure per unit of the
	// swept parameter.
	unitAsMeasured = "as measured"
)

// below returns a result whose target is a value less than a bound.
func below(name string, value, bound float64, unit string) Result {
	met := value < bound
	return Result{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf("< %g", bound), Met: &met}
}

// atMost returns a result whose target is a value not greater than a bound.
func atMost(name string, value, bound float64, unit string) Result {
	met := value <= bound
	return Result{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf("<= %g", bound), Met: &met}
}

// atLeast returns a result whose target is a value not less than a bound.
func atLeast(name string, value, bound float64, unit string) Result {
	met := value >= bound
	return Result{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf(">= %g", bound), Met: &met}
}

// informational returns a result without a target.
func informational(name string, value float64, unit string) Result {
	return Result{Name: name, Value: value, Unit: unit}
}

// withPrefix adds a prefix to the names of results.
func withPrefix(prefix string, results []Result) []Result {
	for i := range results {
		results[i].Name = prefix + " " + results[i].Name
	}
	return results
}
