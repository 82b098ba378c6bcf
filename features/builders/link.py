"""Builds a platform link and a stand-in, connected by real sockets."""

from collections.abc import Callable
from random import Random
from socket import socket
from threading import RLock
from time import monotonic, sleep

from attrs import define, field
from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

from cumindrift.address import Endpoint
from cumindrift.objects.client import StoreCore
from cumindrift.objects.link import PlatformLink, RemoteStore
from cumindrift.objects.rate_limiter import CallRateLimiter
from cumindrift.outcome import Outcome
from cumindrift.supervision import ChildSpec, Supervisor
from standin.platform import PlatformModel, PlatformServer

WAIT_MAX_S = 30.0
TICK_S = 0.002
LOOPBACK = Endpoint('127.0.0.1', 0)


def closed_endpoint() -> Endpoint:
    """Returns an address without a listener."""
    with socket() as sock:
        sock.bind(LOOPBACK.sockaddr())
        return Endpoint(*sock.getsockname())


@define(slots=True, eq=False)
class LinkBench:
    """One event loop for the link and, unless `model` is None, the stand-in.

    `lock` is an argument of the event that circuits fires in each iteration
    of its loop.
    """

    model: PlatformModel | None = field(factory=PlatformModel)
    store: RemoteStore = field(init=False)
    root: Supervisor = field(init=False)
    outcomes: list[Outcome] = field(factory=list)
    lock: RLock = field(factory=RLock)

    def __attrs_post_init__(self) -> None:
        """Starts link and stand-in under one supervisor."""
        self.store = RemoteStore(
            StoreCore(CallRateLimiter(Random(1))), monotonic
        )
        specs: list[ChildSpec] = []
        endpoint = closed_endpoint()
        if self.model is not None:
            server = PlatformServer(self.model, LOOPBACK)
            endpoint = server.endpoint
            specs.append(ChildSpec('server', lambda: server))
        specs.append(
            ChildSpec('link', lambda: PlatformLink(self.store, endpoint)),
        )
        self.root = Supervisor('bench', specs)
        EPoll().register(self.root)
        while len(self.root):
            self.root.flush()

    def run_until(self, is_over: Callable[[], bool]) -> None:
        """Runs the loop until `is_over`, at most for WAIT_MAX_S.

        Events fired from outside the loop wake up its poller, so that the
        poller does not wait here; the loop sleeps instead.
        """
        until_s = monotonic() + WAIT_MAX_S
        while monotonic() < until_s:
            sleep(TICK_S)
            self.root.fire(generate_events(self.lock, TICK_S), '*')
            self.root.tick()
            if is_over():
                return
