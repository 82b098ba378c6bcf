"""Builds a client socket that is driven step by step, beside the loop."""

import socket

from cumindrift.address import Endpoint

_CHUNK_BYTES = 65536


class RawSocket:
    """Sends octets and collects the answer without blocking."""

    def __init__(self, endpoint: Endpoint, octets: bytes) -> None:
        """Connects to a listening endpoint."""
        self.octets = octets
        self.received = b''
        self.is_answered = False
        self._socket = socket.create_connection(endpoint.sockaddr())
        self._socket.setblocking(False)

    def step(self) -> None:
        """Sends and reads what the kernel takes and has."""
        try:
            if self.octets:
                sent = self._socket.send(self.octets[:_CHUNK_BYTES])
                self.octets = self.octets[sent:]
            self._receive()
        except BlockingIOError:
            return

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    def _receive(self) -> None:
        octets = self._socket.recv(_CHUNK_BYTES)
        self.received += octets
        head, mark, body = self.received.partition(b'\r\n\r\n')
        sizes = [
            int(line.partition(b':')[2])
            for line in head.split(b'\r\n')
            if line.lower().startswith(b'content-length:')
        ]
        self.is_answered = not octets or bool(
            mark and sizes and len(body) >= sizes[0],
        )
