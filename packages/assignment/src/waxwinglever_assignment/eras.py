"""Keeps transactions of an earlier era of the store from taking effect.

A store that was restored gives versions out again, so a transaction that was
sent before and arrives late could meet its conditions by chance. Each
transaction therefore also requires that no later era is marked in the store,
and each session marks its era when it opens its lease.
"""

from waxwinglever_store import leased

PREFIX = "waxwinglever/eras/"
# Each session marks this many eras up to its own, as restores may follow each
# other, each from a copy that is older than the markers.
MARKED_ERAS = 8


def marker_key(era: int) -> str:
    """Returns the key that marks an era."""
    return f"{PREFIX}{era}"


def condition(era: int) -> dict[str, int]:
    """Returns the condition that no later era is marked."""
    return {marker_key(era + 1): leased.ABSENT}


def markers(era: int) -> list[leased.Write]:
    """Returns the writes that mark an era and those before it."""
    return [
        leased.Write(marker_key(marked), b"")
        for marked in range(max(1, era + 1 - MARKED_ERAS), era + 1)
    ]
