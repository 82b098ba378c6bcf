"""A proxy between an endpoint and its agent that holds heartbeats back."""

from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from threading import Thread
from time import monotonic, sleep

from review.deployment.record import Record

Address = tuple[str, int]
RECEIVE_BYTES = 65_536
CONNECT_S = 0.2
RETRY_S = 0.002


class HeartbeatProxy:
    """Passes heartbeats on; holds one back while `is_holding`."""

    def __init__(self, listen: Address, agent: Address, record: Record) -> None:
        """Listens at an address in place of the agent."""
        self.is_holding = False
        self.held = b''
        self._agent = agent
        self._record = record
        self._sock = socket(AF_INET, SOCK_STREAM)
        self._sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._sock.bind(listen)
        self._sock.listen(16)
        Thread(target=self._accept, daemon=True).start()

    def deliver_held(self, limit_s: float) -> bool:
        """Delivers the heartbeat held back as soon as the agent listens."""
        until_s = monotonic() + limit_s
        while monotonic() < until_s:
            answer = self._exchange(self.held)
            if answer:
                status = answer.split(b'\r\n')[0].decode('latin-1')
                self._record.note(f'the late heartbeat arrives: {status}')
                return True
            sleep(RETRY_S)
        return False

    def _accept(self) -> None:
        while True:
            sock, _address = self._sock.accept()
            Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket) -> None:
        with sock:
            request = _read_request(sock)
            if self.is_holding:
                self.held = self.held or request
                self._record.note('a heartbeat is held back')
                sock.settimeout(2.0)
                try:
                    sock.recv(1)
                except OSError:
                    return
                return
            try:
                sock.sendall(self._exchange(request))
            except OSError:
                return

    def _exchange(self, request: bytes) -> bytes:
        answer = b''
        with socket(AF_INET, SOCK_STREAM) as agent:
            agent.settimeout(CONNECT_S)
            try:
                agent.connect(self._agent)
                agent.settimeout(2.0)
                agent.sendall(request)
                while octets := agent.recv(RECEIVE_BYTES):
                    answer += octets
            except OSError:
                return b''
        return answer


def _read_request(sock: socket) -> bytes:
    sock.settimeout(2.0)
    request = b''
    try:
        while not _is_complete(request):
            octets = sock.recv(RECEIVE_BYTES)
            if not octets:
                break
            request += octets
    except OSError:
        return request
    return request


def _is_complete(request: bytes) -> bool:
    head, found, body = request.partition(b'\r\n\r\n')
    if not found:
        return False
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return True
