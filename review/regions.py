# ruff: noqa
"""The network between two regions, as a proxy that can drop everything.

Nodes of the two regions use different internal ports, for no other reason
than that this proxy can stand at the addresses in between.
"""

import rig as rigs


class RegionLink:
    """Passes frames between the nodes of two regions unless it is cut."""

    def __init__(self, rig):
        self.rig = rig
        self.is_cut = False
        self.dropped = 0

    async def start(self):
        nodes = self.rig.nodes
        ports = sorted({node.peer_port for node in nodes})
        self.senders = {
            node.ip: await rigs.open_udp(node.ip, 0, lambda *_: None)
            for node in nodes
        }
        for node in nodes:
            other = ports[0] if node.peer_port == ports[1] else ports[1]
            await rigs.open_udp(node.ip, other, self._passer(node))

    def _passer(self, node):
        def receive(octets, addr):
            if self.is_cut:
                self.dropped += 1
                return
            self.senders[addr[0]].sendto(octets, (node.ip, node.peer_port))

        return receive

    def cut(self):
        self.is_cut = True
        self.rig.note('regions-cut')

    def heal(self):
        self.is_cut = False
        self.rig.note('regions-healed', dropped=self.dropped)
