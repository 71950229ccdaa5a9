package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to its function, which returns whether the rule was broken.
var cases = map[string]func(wld *world, trouble bool) (bool, error){}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "", "path of the program siskinrill")
	root := flag.String("root", "", "folder in which the program starts")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	fn := cases[*name]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitFailed
	}
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	wld := newWorld(*program, *root, dir, out)
	defer wld.end()
	time.AfterFunc(110*time.Second, func() {
		wld.logf("gave up after 110 s")
		wld.end()
		os.RemoveAll(dir)
		os.Exit(exitFailed)
	})
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		wld.end()
		os.RemoveAll(dir)
		os.Exit(exitFailed)
	}()
	broken, err := fn(wld, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		wld.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		fmt.Println("the rule was broken, see", *record)
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
