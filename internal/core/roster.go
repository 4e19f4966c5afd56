package core

import (
	"log/slog"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// RosterKey is the key of the roster in the key-value service.
const RosterKey = "fleet/routers"

// errRosterFormat: the roster was written by a later version of the program.
var errRosterFormat = errors.New("core: unknown format of the roster")

const rosterFormat = 1

// roster lists the VMs that run routers, with the link address of each. A router
// enters itself at its start; one read then tells it of all others.
//
// Failure: a router starts while some links are cut and knows two others only. It
// would rank a key's homes among those three, and vouch that the key is new, while
// the rest of the fleet looks for it at other homes. With the roster it knows whom
// it does not reach.
type roster struct {
	Format  int              `msgpack:"f"`
	Routers map[id.VM]string `msgpack:"r"`
}

func decodeRoster(data []byte) (*roster, error) {
	r := &roster{Format: rosterFormat, Routers: make(map[id.VM]string)}
	if len(data) == 0 {
		return r, nil
	}
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "core: roster")
	}
	if r.Format != rosterFormat {
		return nil, errRosterFormat
	}
	if r.Routers == nil {
		r.Routers = make(map[id.VM]string)
	}
	return r, nil
}

// enterRoster puts this router on the roster and takes in the others; then goes on.
func (c *Core) enterRoster(then func(err error)) {
	call := c.newCall(func(value any, err error) {
		read, _ := value.(platform.Value)
		if err != nil {
			then(err)
			return
		}
		c.rosterRead(read, then)
	})
	c.do(ReadKey{Call: call, Key: RosterKey})
}

func (c *Core) rosterRead(read platform.Value, then func(err error)) {
	r, err := decodeRoster(read.Data)
	if err != nil {
		then(err)
		return
	}
	own := c.Self()
	if r.Routers[own.Router.VM] == own.LinkAddress {
		c.takeRoster(r)
		then(nil)
		return
	}
	r.Routers[own.Router.VM] = own.LinkAddress
	c.dropGoneVMs(r)
	data, err := msgpack.Marshal(r)
	if err != nil {
		then(err)
		return
	}
	call := c.newCall(func(_ any, err error) {
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
			c.enterRoster(then)
			return
		}
		if err == nil {
			c.takeRoster(r)
		}
		then(err)
	})
	c.do(WriteKey{Call: call, Key: RosterKey, Expect: read.Revision, Data: data})
}

// dropGoneVMs takes VMs off the roster that the platform's list doesn't have, if
// that list has this VM: then it is one that lists entry VMs.
func (c *Core) dropGoneVMs(r *roster) {
	if !c.listed[c.self.VM] {
		return
	}
	for vm := range r.Routers {
		if !c.listed[vm] {
			delete(r.Routers, vm)
		}
	}
}

// takeRoster makes the routers of the roster seeds of the view, and counts those
// that the view doesn't know as lost until it does.
func (c *Core) takeRoster(r *roster) {
	var addresses []string
	for _, vm := range sortedKeys(r.Routers) {
		if vm == c.self.VM {
			continue
		}
		addresses = append(addresses, r.Routers[vm])
		if _, known := c.view.Peer(vm); !known {
			c.noteGhost(member.Peer{Info: member.Info{Router: id.Router{VM: vm}, LinkAddress: r.Routers[vm]}})
		}
	}
	c.viewStep(member.SeedsFound{Addresses: addresses})
	c.emit(event.RosterRead, slog.Int("routers", len(r.Routers)))
}
