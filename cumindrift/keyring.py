"""Keyed digests (MACs) of the messages between processes."""

from hashlib import blake2b
from hmac import compare_digest

from cumindrift.metric import OTHER_KEY

DIGEST_BYTES = 16


class Keyring:
    """Signs and verifies datagrams with shared keys.

    The first key signs, all keys verify. To rotate keys, add the new key on
    every process, then move it to the front. Each process counts the datagrams
    that were verified by a key other than its first. The old key can be removed
    once that count no longer grows on any process.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """Takes one or more keys of 16 to 64 bytes each."""
        if not keys:
            raise ValueError('a keyring needs at least one key')
        self._hashers = tuple(
            blake2b(key=key, digest_size=DIGEST_BYTES) for key in keys
        )

    def sign(self, body: bytes) -> bytes:
        """Returns `body` with its MAC appended."""
        return body + _digest(self._hashers[0], body)

    def verify(self, datagram: bytes) -> bytes | None:
        """Returns the body, or None if the MAC matches no key."""
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
