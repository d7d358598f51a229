package state

// PriorityClass is the priority of a call. Lower values are more urgent.
type PriorityClass uint8

// The priority classes, most urgent first.
const (
	// ClassCritical is for calls that must not be delayed, such as a surgical
	// reading or an excavation start notice.
	ClassCritical PriorityClass = iota
	// ClassHigh is for interactive calls, for which a user is waiting.
	ClassHigh
	// ClassNormal is for lookups by other systems and for bulk transfers whose
	// results are needed soon.
	ClassNormal
	// ClassBackground is for calls that can be delayed, such as audit browsing.
	ClassBackground
)

// ClassCount is the number of priority classes.
const ClassCount = 4

var classNames = [ClassCount]string{"critical", "high", "normal", "background"}

// Classes returns all priority classes, most urgent first.
func Classes() [ClassCount]PriorityClass {
	return [ClassCount]PriorityClass{ClassCritical, ClassHigh, ClassNormal, ClassBackground}
}

// Valid reports whether c is one of the defined classes.
func (c PriorityClass) Valid() bool { return c < ClassCount }

// String returns the name of the class as it appears in tickets and metrics.
func (c PriorityClass) String() string {
	if !c.Valid() {
		return "invalid"
	}
	return classNames[c]
}

// ParsePriorityClass returns the class with the given name.
func ParsePriorityClass(name string) (PriorityClass, bool) {
	for class, candidate := range classNames {
		if candidate == name {
			return PriorityClass(class), true
		}
	}
	return 0, false
}
