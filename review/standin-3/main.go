// Command review3 plays the script cases of the third review: it starts the project's own processes, with small stand-ins for the
// platform, the backend servers and the clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to its function, which returns whether the rule was broken.
var cases = map[string]func(dep *deployment, trouble bool) (bool, error){
	"unframed":   playUnframed,
	"singlekeys": playSingleKeys,
	"lost":       playLostAnswers,
	"invalid":    playInvalid,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		os.Exit(runUpstream(os.Args[2:]))
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "on" && os.Args[3] != "off" {
		fmt.Fprintln(os.Stderr, "usage: review3 unframed|singlekeys|lost|invalid DIR on|off")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] == "on"))
}

// play plays a case, with its disruption or without, and writes its record to record.txt in a folder.
func play(name, dir string, trouble bool) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	rec.printf("case %s, disruption: %t", name, trouble)
	dep, err := newDeployment(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitFailed
	}
	dep.stopOnSignal()
	defer dep.stop()
	broken, err := cases[name](dep, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitFailed
	case broken:
		rec.printf("result: the rule was BROKEN")
		return exitBroken
	}
	rec.printf("result: the rule held")
	return exitHeld
}
