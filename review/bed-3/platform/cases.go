package main

// cases are the plays by name.
var cases = map[string]func(*bed) (int, error){
	"heads":     playHeads,
	"memory":    playMemory,
	"behind":    playBehind,
	"slow-read": playSlowRead,
	"slow-body": playSlowBody,
	"path":      playPath,
	"gone":      playGone,
	"mixed":     playMixed,
}
