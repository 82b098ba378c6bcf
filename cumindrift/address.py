"""Addresses of processes: IP address and port."""

from ipaddress import IPv4Address

from attrs import define

_PORT_MAX = 65535


@define(frozen=True, slots=True, order=True)
class Endpoint:
    """The IPv4 address and port where a process listens."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Endpoint':
        """Parses ``127.0.0.1:7000``; raises ValueError if malformed."""
        host, colon, port = text.rpartition(':')
        if not colon or not port.isdecimal() or int(port) > _PORT_MAX:
            raise ValueError(f'expected IP:PORT, found {text!r}')
        return cls(str(IPv4Address(host)), int(port))

    def sockaddr(self) -> tuple[str, int]:
        """Returns the pair that Python's sockets take as an address."""
        return (self.ip, self.port)

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'
