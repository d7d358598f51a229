// Command platform plays one case of the review: it starts a small deployment of the
// system beside stand-ins for the platform, the upstreams and the clients, and checks
// one rule.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// scenario plays a case. Without trouble it leaves the disruption out.
type scenario func(f *fleet, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"frozen": frozen,
	"killed": killed,
	"left":   left,
}

const couldNotRun = 2

// maxLength is the time after which a case is given up.
const maxLength = 110 * time.Second

// stopOnSignal ends all processes when this one is asked to end, or runs for too long.
func (f *fleet) stopOnSignal() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, os.Interrupt, syscall.SIGTERM)
	select {
	case <-asked:
	case <-time.After(maxLength):
	}
	f.stop()
	os.Exit(couldNotRun)
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: platform CASE RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(play scenario, path string) int {
	log := newRecord()
	f, err := newFleet(log)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer f.stop()
	go f.stopOnSignal()
	result, err := play(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.notef("the case could not run: %v", err)
	} else {
		log.notef("%s", result.text)
	}
	if writeErr := log.write(path); writeErr != nil {
		fmt.Println(writeErr)
		return couldNotRun
	}
	switch {
	case err != nil:
		return couldNotRun
	case result.broken:
		return 1
	default:
		return 0
	}
}
