"""Tokens of teams and shift supervisors, stored as salted hashes."""

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

    `holder` is a team's name or ``supervisors``. The secret itself is not
    stored anywhere.
    """

    holder: str
    salt: str
    digest: str


@define(frozen=True, slots=True)
class Author:
    """The author of a write: a team, or the shift supervisors."""

    name: str

    @property
    def is_supervisor(self) -> bool:
        """Whether the author is the shift supervisors."""
        return self.name == SUPERVISORS


def digest_of_secret(salt: str, secret: str) -> str:
    """Returns the salted digest of a secret, in hex.

    Secrets are long and random, so a fast keyed hash is enough; a slow
    one would block the event loop.
    """
    hasher = blake2b(key=salt.encode(), digest_size=_DIGEST_BYTES)
    hasher.update(secret.encode())
    return hasher.hexdigest()


def make_token(
    holder: str,
    octets: bytes,
) -> tuple[str, TokenSettings]:
    """Makes a token from random octets.

    Returns the token and the entry to store in the settings.
    """
    salt = octets[:SALT_BYTES].hex()
    secret = octets[SALT_BYTES:].hex()
    entry = TokenSettings(holder, salt, digest_of_secret(salt, secret))
    return f'{holder}{_SEPARATOR}{secret}', entry


def authenticate(
    token: str,
    entries: tuple[TokenSettings, ...],
) -> Done | Refused:
    """Returns the author that a token authenticates, or code 406.

    All stored tokens of the holder are accepted, so that a token can be
    replaced while the old one is still valid. Comparisons take constant time.
    """
    holder, _, secret = token.rpartition(_SEPARATOR)
    is_known = False
    for entry in entries:
        if entry.holder == holder:
            digest = digest_of_secret(entry.salt, secret)
            is_known |= compare_digest(digest.encode(), entry.digest.encode())
    if is_known:
        return Done(Author(holder))
    return Refused(ResultCode.NO_TOKEN, '/', 'the token is unknown')
