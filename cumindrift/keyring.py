"""Keyed digests on the messages between processes."""

from hashlib import blake2b
from hmac import compare_digest

from cumindrift.metric import OTHER_KEY

DIGEST_BYTES = 16


class Keyring:
    """Seals and opens datagrams; every port between processes has one.

    The first key seals. All keys open, so that a key can be changed by
    adding the new one everywhere before it moves to the front. A process
    counts what another than its first key opened; the former key can go
    once no process counts any more.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """Takes one or more keys of 16 to 64 bytes each."""
        if not keys:
            raise ValueError('a keyring needs at least one key')
        self._hashers = tuple(
            blake2b(key=key, digest_size=DIGEST_BYTES) for key in keys
        )

    def sign(self, body: bytes) -> bytes:
        """Returns `body` with its digest appended."""
        return body + _digest(self._hashers[0], body)

    def verify(self, datagram: bytes) -> bytes | None:
        """Returns the body, or None when no key gives its digest."""
        body = datagram[:-DIGEST_BYTES]
        digest = datagram[-DIGEST_BYTES:]
        for hasher in self._hashers:
            if compare_digest(_digest(hasher, body), digest):
                if hasher is not self._hashers[0]:
                    OTHER_KEY.inc()
                return body
        return None


def _digest(keyed: blake2b, body: bytes) -> bytes:
    hasher = keyed.copy()
    hasher.update(body)
    return hasher.digest()
