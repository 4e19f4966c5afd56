package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is one chicory-edge process on its own ports, which stay the same over restarts.
type router struct {
	name, domain                               string
	front, ready, directory, control, internal string
	settings, log                              string
	process                                    *exec.Cmd
	ended                                      chan struct{}
}

// Ports of routers are below those that the kernel gives to outgoing connections, which could take one while
// its router isn't running.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

var portsInUse = map[int]bool{}

// freeAddress returns a loopback address that is free now.
func freeAddress() string {
	for range 1000 {
		port := firstPort + rand.Intn(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil || portsInUse[port] {
			continue
		}
		_ = l.Close()
		portsInUse[port] = true
		return address
	}
	fail("no free port")
	return ""
}

// newRouters prepares routers with the settings that deploy/settings.ini.tmpl makes of a small deployment.
func newRouters(dir, store string, domains ...string) []*router {
	var routers []*router
	for i, domain := range domains {
		r := &router{name: fmt.Sprintf("edge-%s-%d", domain, i+1), domain: domain, front: freeAddress(), ready: freeAddress(), directory: freeAddress(),
			control: freeAddress(), internal: freeAddress()}
		r.settings, r.log = filepath.Join(dir, r.name+".ini"), filepath.Join(dir, r.name+".log")
		routers = append(routers, r)
	}
	seeds := make([]string, 0, len(routers))
	for _, r := range routers[:min(len(routers), 3)] {
		seeds = append(seeds, r.control)
	}
	for _, r := range routers {
		text := fmt.Sprintf(`[router]
vm = %s
failure_domain = %s
grace_s = 8
memory_mb = 134
cpu_share = 0.4
link_mbps = 1000.0
seeds = %s

[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s

[store]
address = %s
drain_ms = 2000

[retries]
ratio = 0.2
extra = 56
window_s = 10
`, r.name, r.domain, strings.Join(seeds, ","), r.front, r.ready, r.directory, r.control, r.internal, store)
		check(os.WriteFile(r.settings, []byte(text), 0o600))
	}
	return routers
}

// start starts the process with the command of the deploy file.
func (r *router) start() {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	r.process = exec.Command("target/chicory-edge")
	r.process.Env = append(os.Environ(), "CHICORYTILLER_CONFIG="+r.settings)
	r.process.Stdout, r.process.Stderr = log, log
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(r.process.Start())
	r.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(ended)
	}(r.process, r.ended)
}

// kill ends the process with SIGKILL.
func (r *router) kill() {
	if r.process == nil {
		return
	}
	_ = r.process.Process.Kill()
	<-r.ended
	r.process = nil
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + r.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func awaitReady(routers []*router) {
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				log, _ := os.ReadFile(r.log)
				fail("router %s is not ready: %s", r.name, log[max(0, len(log)-500):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
