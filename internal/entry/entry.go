// Package entry chooses the routers that a caller should connect to.
package entry

import "chicorytiller.example/chicorytiller/internal/fleet"

// nearEnough is the routers of the caller's own failure domain below which those of
// others are named too: with one alone its death would leave the caller nothing to
// turn to until it asks again.
const nearEnough = 2

// addressesMost bounds an answer.
const addressesMost = 64

// Choose returns addresses for a caller in a failure domain. Near routers are
// preferred since bytes between failure domains are paid for.
func Choose(members []fleet.Member, zone string) []string {
	var near, far []string
	for _, m := range members {
		if m.Zone == zone {
			near = append(near, m.Address)
			continue
		}
		far = append(far, m.Address)
	}
	chosen := near
	if len(near) < nearEnough {
		chosen = append(near, far...)
	}
	return chosen[:min(len(chosen), addressesMost)]
}
