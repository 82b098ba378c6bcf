"""Addresses of processes: IP number and port."""

from ipaddress import IPv4Address

from attrs import define

_PORT_MAX = 65535


@define(frozen=True, slots=True, order=True)
class Endpoint:
    """Where a process listens; used by every message that names one."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Endpoint':
        """Reads ``127.0.0.1:7000``; raises ValueError with the reason."""
        host, colon, port = text.rpartition(':')
        if not colon or not port.isdecimal() or int(port) > _PORT_MAX:
            raise ValueError(f'expected IP:PORT, found {text!r}')
        return cls(str(IPv4Address(host)), int(port))

    def sockaddr(self) -> tuple[str, int]:
        """Returns the form that sockets take."""
        return (self.ip, self.port)

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'
