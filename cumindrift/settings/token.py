"""Tokens of teams and shift supervisors, kept as salted hashes."""

from hashlib import blake2b
from hmac import compare_digest

from attrs import define

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, Refused

SUPERVISORS = 'supervisors'
SALT_BYTES = 16
SECRET_BYTES = 32
TOKEN_BYTES = SALT_BYTES + SECRET_BYTES
_DIGEST_BYTES = 32
_SEPARATOR = '.'


@define(frozen=True, slots=True)
class TokenSettings:
    """One token in the settings of a process: holder, salt and digest.

    `holder` is a team's name or ``supervisors``. The secret itself stands
    nowhere in the system.
    """

    holder: str
    salt: str
    digest: str


@define(frozen=True, slots=True)
class Author:
    """Who writes: one team, or the shift supervisors."""

    name: str

    @property
    def is_supervisor(self) -> bool:
        """Tells whether this is the shift supervisors' token."""
        return self.name == SUPERVISORS


def digest_of_secret(salt: str, secret: str) -> str:
    """Returns the salted digest of a secret, in hex.

    Secrets are random and long, so a fast keyed hash is enough and the
    loop is not held up as by a slow one.
    """
    hasher = blake2b(key=salt.encode(), digest_size=_DIGEST_BYTES)
    hasher.update(secret.encode())
    return hasher.hexdigest()


def make_token(
    holder: str,
    octets: bytes,
) -> tuple[str, TokenSettings]:
    """Makes a token of random octets; returns it and what is kept of it."""
    salt = octets[:SALT_BYTES].hex()
    secret = octets[SALT_BYTES:].hex()
    kept = TokenSettings(holder, salt, digest_of_secret(salt, secret))
    return f'{holder}{_SEPARATOR}{secret}', kept


def authenticate(
    token: str,
    kept: tuple[TokenSettings, ...],
) -> Done | Refused:
    """Returns the author that a token speaks for, or code 406.

    Every kept token of the holder is compared in constant time, so that a
    token can be changed while the old one is still valid.
    """
    holder, _, secret = token.rpartition(_SEPARATOR)
    is_known = False
    for entry in kept:
        if entry.holder == holder:
            digest = digest_of_secret(entry.salt, secret)
            is_known |= compare_digest(digest.encode(), entry.digest.encode())
    if is_known:
        return Done(Author(holder))
    return Refused(ResultCode.NO_TOKEN, '/', 'the token is not known here')
