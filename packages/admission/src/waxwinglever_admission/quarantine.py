"""Tracks requests that may crash, or have crashed, a backend server."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

MAX_SUSPECTS = 1_000
MAX_CONVICTED = 1_000
SUSPECT_EXPIRY_S = 600.0


@attrs.define(eq=False)
class Quarantine:
    """Fingerprints of suspect and convicted requests, each oldest first.

    A suspect was in flight when a backend server crashed. A convicted request
    was a suspect and crashed the backend server again while it ran alone.

    Attributes:
      now: The clock.
      suspects: Fingerprint to the time at which the suspicion expires.
      convicted: Fingerprints that are refused permanently.
    """

    now: Callable[[], float]
    suspects: dict[str, float] = attrs.Factory(dict)
    convicted: dict[str, None] = attrs.Factory(dict)


def add_suspects(quarantine: Quarantine, fingerprints: Iterable[str]) -> None:
    """Adds or renews suspects; convicted fingerprints stay convicted."""
    expires_s = quarantine.now() + SUSPECT_EXPIRY_S
    for fingerprint in fingerprints:
        if fingerprint not in quarantine.convicted:
            quarantine.suspects.pop(fingerprint, None)
            quarantine.suspects[fingerprint] = expires_s
    evict_oldest(quarantine.suspects, MAX_SUSPECTS)


def add_convicted(quarantine: Quarantine, fingerprints: Iterable[str]) -> None:
    """Marks fingerprints as convicted and no longer as suspects."""
    for fingerprint in fingerprints:
        quarantine.suspects.pop(fingerprint, None)
        quarantine.convicted.pop(fingerprint, None)
        quarantine.convicted[fingerprint] = None
    evict_oldest(quarantine.convicted, MAX_CONVICTED)


def clear_suspects(quarantine: Quarantine, fingerprints: Iterable[str]) -> None:
    """Removes suspects; convicted fingerprints stay convicted."""
    for fingerprint in fingerprints:
        quarantine.suspects.pop(fingerprint, None)


def is_suspect(quarantine: Quarantine, fingerprint: str) -> bool:
    """Returns whether a fingerprint is an unexpired suspect."""
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


def evict_oldest(table: dict, size: int) -> None:
    """Removes the oldest entries until at most `size` are left."""
    while len(table) > size:
        del table[next(iter(table))]
