"""Tells which clients send far more SYNs than the others, in bounded memory."""

from math import log
from random import Random
from struct import Struct

from attrs import define, field

from cumindrift.fleet.manifest import RequestLimits
from cumindrift.metric import SHARE_EXCEEDED

# Enough to tell some 250 active clients apart; a SYN costs the same whatever
# the number of clients.
BUCKET_COUNT = 256
HALF_LIFE_S = 1.0
# The factor and the offset of a row's hash.
_COEFFICIENTS = Struct('>QQ')
# The octets of a salt, for two rows.
SALT_BYTES = 2 * _COEFFICIENTS.size
_PRIME = (1 << 61) - 1
# Counts decay in steps of this length, since a step visits every bucket.
DECAY_STEP_S = 0.1
# A client exceeds its share above this many times the others' mean.
EXCESS_RATIO = 4.0
# A bucket counts as active from this count on: its last SYN came within one
# half-life.
ACTIVE_COUNT_MIN = 0.5
# A count up to this one never exceeds. Browsers open up to six connections to
# a host at once, also where the mean share is a fraction of a SYN.
BURST_COUNT = 6.0


def buckets_of(client: bytes, salt: bytes) -> tuple[int, int]:
    """Returns the bucket of a client's address in each of the two rows.

    Two random numbers of the salt make a linear function for each row, modulo
    a prime. Whoever does not know them cannot choose addresses that collide.
    CRC-32 would not do: a salt changes all its results by the same bits, so
    addresses that collide under one salt would collide under every other. A
    keyed hash of hashlib would load OpenSSL into each node.
    """
    number = int.from_bytes(client)
    first, second = (
        (number * factor + offset) % _PRIME % BUCKET_COUNT
        for factor, offset in _COEFFICIENTS.iter_unpack(salt)
    )
    return first, second


def _row_factory() -> list[float]:
    return [0.0 for _ in range(BUCKET_COUNT)]


@define(slots=True, eq=False, repr=False)
class FairShare:
    """Counts the SYNs of one service by client address.

    Each SYN is counted in one bucket of each row. The lower of the two counts
    is taken for its client's, so a client is charged for others only if it
    shares a bucket with them in both rows. `salt` has `SALT_BYTES` octets that
    each process draws at random.
    """

    salt: bytes
    _first: list[float] = field(factory=_row_factory)
    _second: list[float] = field(factory=_row_factory)
    _total: float = 0.0
    # How many buckets of the first row are active.
    _active_count: int = 0
    _decayed_s: float = 0.0

    def on_arrived(self, client: bytes, now_s: float) -> bool:
        """Counts a SYN; returns whether its client now exceeds its share.

        `client` is the client's address in octets.
        """
        if now_s - self._decayed_s >= DECAY_STEP_S:
            self._decay(now_s)
        first, second = buckets_of(client, self.salt)
        if self._first[first] < ACTIVE_COUNT_MIN:
            self._active_count += 1
        self._first[first] += 1
        self._second[second] += 1
        self._total += 1
        return self._is_excess(min(self._first[first], self._second[second]))

    def client_count(self) -> float:
        """Returns the estimated number of active clients.

        Linear counting: `n` clients leave a share of `exp(-n / buckets)` of the
        buckets of a row without any. The estimate stops at one client for
        each bucket. With more clients, each bucket holds the SYNs of several,
        and a lower mean would make all of them exceed it.
        """
        idle_count = BUCKET_COUNT - self._active_count
        if not idle_count:
            return BUCKET_COUNT
        estimate = BUCKET_COUNT * log(BUCKET_COUNT / idle_count)
        return min(estimate, BUCKET_COUNT)

    def _is_excess(self, count: float) -> bool:
        """Compares a client's count with the mean of the other clients."""
        if count <= BURST_COUNT or self._active_count <= 1:
            return False
        mean = (self._total - count) / (self.client_count() - 1)
        return count > mean * EXCESS_RATIO

    def _decay(self, now_s: float) -> None:
        remaining = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now_s
        self._first = [count * remaining for count in self._first]
        self._second = [count * remaining for count in self._second]
        self._total = sum(self._first)
        self._active_count = sum(
            count >= ACTIVE_COUNT_MIN for count in self._first
        )


@define(slots=True, eq=False, repr=False)
class ClientShares:
    """The SYNs by client of each service of a balancer."""

    random: Random
    by_service: dict[str, FairShare] = field(factory=dict)

    def on_arrived(
        self, service: str, limits: RequestLimits, client: bytes, now_s: float
    ) -> bool:
        """Counts a client's SYN; returns whether it exceeds its share."""
        share = self.by_service.get(service)
        if share is None:
            share = FairShare(self.random.randbytes(SALT_BYTES))
            self.by_service[service] = share
        is_exceeded = share.on_arrived(client, now_s)
        if is_exceeded:
            SHARE_EXCEEDED.labels(service, str(limits.priority)).inc()
        return is_exceeded
