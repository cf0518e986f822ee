"""Requests that may crash, or have crashed, a backend server."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

MAX_SUSPECTS = 1_000
MAX_CONVICTED = 1_000
SUSPECT_S = 600.0


@attrs.define(eq=False)
class Quarantine:
    """Suspects and convictions, each oldest first.

    Attributes:
      now: The clock.
      suspects: Fingerprint to the time at which it expires.
      convicted: Fingerprints that are refused permanently.
    """

    now: Callable[[], float]
    suspects: dict[str, float] = attrs.Factory(dict)
    convicted: dict[str, None] = attrs.Factory(dict)


def suspect(quarantine: Quarantine, fingerprints: Iterable[str]) -> None:
    """Marks fingerprints as suspects; convicted ones stay convicted."""
    expires_s = quarantine.now() + SUSPECT_S
    for fingerprint in fingerprints:
        if fingerprint not in quarantine.convicted:
            quarantine.suspects.pop(fingerprint, None)
            quarantine.suspects[fingerprint] = expires_s
    trim(quarantine.suspects, MAX_SUSPECTS)


def convict(quarantine: Quarantine, fingerprints: Iterable[str]) -> None:
    """Marks fingerprints as the cause of a crash."""
    for fingerprint in fingerprints:
        quarantine.suspects.pop(fingerprint, None)
        quarantine.convicted.pop(fingerprint, None)
        quarantine.convicted[fingerprint] = None
    trim(quarantine.convicted, MAX_CONVICTED)


def clear(quarantine: Quarantine, fingerprints: Iterable[str]) -> None:
    """Removes suspects that completed; convictions stay."""
    for fingerprint in fingerprints:
        quarantine.suspects.pop(fingerprint, None)


def is_suspect(quarantine: Quarantine, fingerprint: str) -> bool:
    """Returns whether a fingerprint is a suspect that has not expired."""
    expires_s = quarantine.suspects.get(fingerprint)
    if expires_s is None:
        return False
    if quarantine.now() >= expires_s:
        del quarantine.suspects[fingerprint]
        return False
    return True


def is_convicted(quarantine: Quarantine, fingerprint: str) -> bool:
    """Returns whether a fingerprint is refused permanently."""
    return fingerprint in quarantine.convicted


def trim(table: dict, size: int) -> None:
    """Removes the oldest entries over `size`."""
    while len(table) > size:
        del table[next(iter(table))]
