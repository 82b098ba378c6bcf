"""Pauses before a failed store call is repeated."""

from random import Random

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.0
# Beyond this many failures the pause no longer grows.
_DOUBLINGS_MAX = 10


def backoff_s(failure_count: int, random: Random) -> float:
    """Returns the pause after the given number of failures in a row.

    It doubles with each failure up to the maximum, with jitter.
    """
    doublings = min(failure_count, _DOUBLINGS_MAX)
    ceiling_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**doublings)
    return ceiling_s * (1 + random.random()) / 2
