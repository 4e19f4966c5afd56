package peers

import (
	"fmt"
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against a renamed RPC method, field or enum value that routers of an older
// version don't understand: gob drops fields that it doesn't know without an error.
func TestMessagesKeepTheirEncodedForm(t *testing.T) {
	lines := []string{"service " + serviceName}
	lines = append(lines, wireform.Methods(&Service{})...)
	lines = append(lines, "compressed "+wireform.Gob(reflect.TypeFor[packedContent]()))
	for _, v := range []struct {
		meaning string
		value   int
	}{
		{"nothing missing", int(escrow.NoShortage)},
		{"peer not reached", int(escrow.PeerUnreachable)},
		{"draw under way", int(escrow.DrawPending)},
		{"store unreachable", int(escrow.StoreUnreachable)},
		{"held by others", int(escrow.HeldElsewhere)},
		{"in doubt", int(escrow.InDoubt)},
		{"used up", int(escrow.Exhausted)},
		{"rationed", int(escrow.Rationed)},
	} {
		lines = append(lines, fmt.Sprintf("Short %d: %s", v.value, v.meaning))
	}
	for _, v := range []struct {
		meaning string
		status  FollowStatus
	}{
		{"followed", FollowOK},
		{"no feed", FollowNoFeed},
		{"history lost", FollowCompacted},
	} {
		lines = append(lines, fmt.Sprintf("Status %d: %s", v.status, v.meaning))
	}
	wireform.Compare(t, "wire.golden", lines)
}
