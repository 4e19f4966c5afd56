// Command standin runs the scripted cases of the review: it starts routers as processes, stands in for the
// platform, the backend servers and the clients, and judges what the clients and the backend servers see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

var (
	record  *os.File
	started = time.Now()
	cleanup []func()
)

// note writes a line to the record.
func note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = record.WriteString(line)
}

// exit ends all processes and the program.
func exit(code int) {
	for _, do := range cleanup {
		do()
	}
	os.Exit(code)
}

func fail(format string, args ...any) {
	note("the case could not run: "+format, args...)
	exit(notRun)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	time.AfterFunc(115*time.Second, func() { fail("time is up") })
	cases := map[string]func(dir string, trouble bool) bool{"paused-account": pausedAccount, "silent-stream": silentStream, "restored-store": restoredStore}
	run := cases[os.Args[1]]
	if run == nil {
		fail("no case %q", os.Args[1])
	}
	if run(dir, os.Getenv("TROUBLE") != "0") {
		note("the rule held")
		exit(ruleHeld)
	}
	note("the rule was broken")
	exit(ruleBroken)
}
