package node

import (
	"context"
	"net"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/tunnel"
)

// otherRouters returns the other routers that can be called.
func (n *Node) otherRouters() []fleet.Member {
	members := n.members.List()
	others := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		if m.Name != n.settings.VM && m.PeerAddress != "" {
			others = append(others, m)
		}
	}
	return others
}

// dialForCarrier connects to a server on behalf of another router. Only servers that this router may
// use itself can be reached so.
func (n *Node) dialForCarrier(ctx context.Context, target tunnel.Target) (net.Conn, error) {
	server := n.registry.Find(target.ID, target.StartUnixMilli)
	if server == nil || server.Ineligible() {
		n.metrics.countTunnel(tunnelUnknown)
		return nil, tunnel.ErrUnknown
	}
	conn, err := n.client.DialForCarrier(ctx, server)
	if err != nil {
		n.metrics.countTunnel(tunnelUnreachable)
		return nil, tunnel.ErrUnreachable
	}
	n.metrics.countTunnel(tunnelOpened)
	return conn, nil
}
