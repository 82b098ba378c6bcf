"""The target stand-in as a process, and callers that reset connections."""

import sys
from random import Random
from socket import SO_LINGER, SOL_SOCKET, create_connection, socket
from struct import pack
from subprocess import Popen
from time import monotonic, sleep

from features.builders.link import closed_endpoint

START_MAX_S = 20.0
ANSWER_MAX_S = 10.0
PATHS = ('/runs', '/load', '/download?bytes=60000')
ANSWER_HEAD_BYTES = 32


class TargetProcess:
    """A running stand-in; all pauses of callers come from one seed."""

    def __init__(self) -> None:
        """Starts the process and waits until it listens."""
        self._random = Random(1)
        self._http = closed_endpoint()
        self._process = Popen(  # noqa: S603 - our own program
            (
                sys.executable,
                '-m',
                'standin.target',
                f'--http={self._http}',
                f'--packets={closed_endpoint()}',
                '--work_s=0.002',
            ),
        )
        until_s = monotonic() + START_MAX_S
        while True:
            try:
                self._connect().close()
            except ConnectionRefusedError:
                if monotonic() > until_s:
                    raise
                sleep(0.05)
            else:
                return

    def ask(self) -> bytes:
        """Asks for the runs; returns the start of the answer."""
        with self._connect() as sock:
            self._send(sock, PATHS[0])
            return sock.recv(ANSWER_HEAD_BYTES)

    def ask_and_reset(self, pause_max_s: float) -> None:
        """Asks, and resets the connection after a random pause."""
        with self._connect() as sock:
            self._send(sock, self._random.choice(PATHS))
            sleep(self._random.random() * pause_max_s)
            # With no time to linger, closing sends a reset.
            sock.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))

    def stop(self) -> None:
        """Ends the process."""
        self._process.terminate()
        self._process.wait()

    def _connect(self) -> socket:
        return create_connection(self._http.sockaddr(), ANSWER_MAX_S)

    def _send(self, sock: socket, path: str) -> None:
        request = f'GET {path} HTTP/1.1\r\nHost: target\r\n\r\n'
        sock.sendall(request.encode())
