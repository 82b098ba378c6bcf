"""Loopback addresses, ports and time bounds of a soak."""

from pathlib import Path

from attrs import define

from cumindrift.address import Endpoint

PACKETS_PORT, OUTBOUND_PORT, READY_PORT, CONTROL_PORT = 8172, 8162, 8167, 8166
TARGET_PORT = 8165
STORE_PORT = 8169
PEER_PORTS = (7720, 7735)
SERVICE_ADDRESS = Endpoint('198.18.0.1', 443)
DATA_CENTRES = ('hel-a', 'esp-b', 'van-c')
SERVICES = ('kaynti', 'asiakirja')
# Time bounds from the user documentation; the soak checks promises by them.
DRAIN_S = 3.0
EVACUATE_S = 5.0
MANIFEST_S = 3.0
# A client repeats a SYN for this long.
SYN_REPEATS_S = 1.4
RECOVER_S = 12.0
HEARTBEAT_S = 0.6


@define(frozen=True, slots=True)
class Topology:
    """Size and addresses of one soak.

    `slot` selects the address range, so that several soaks can run at once.
    """

    slot: int
    balancers: int
    agents: int
    clients: int
    folder: Path
    # Whether nodes get the contract `health`.
    judges_targets: bool = False

    def balancer_ip(self, number: int) -> str:
        """Returns the address of balancer `number`."""
        return f'127.{20 + self.slot}.1.{number + 1}'

    def agent_ip(self, number: int) -> str:
        """Returns the address of agent `number` and of its target."""
        return f'127.{20 + self.slot}.2.{number + 1}'

    def client_ip(self, number: int) -> str:
        """Returns the address of client `number`."""
        return f'127.{20 + self.slot}.3.{number + 1}'

    def proxy(self, ip: str) -> Endpoint:
        """Returns the proxy address that the node at `ip` uses as its store."""
        octets = ip.split('.')
        octets[2] = str(int(octets[2]) + 10)
        return Endpoint('.'.join(octets), STORE_PORT)

    @property
    def store(self) -> Endpoint:
        """Returns the address of the store stand-in."""
        return Endpoint(f'127.{20 + self.slot}.9.1', STORE_PORT)

    def data_centre(self, number: int) -> str:
        """Returns the data centre of machine `number`."""
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def service(self, number: int) -> str:
        """Returns the service of target `number`: each fourth has the other."""
        return SERVICES[number % 4 == 3]
