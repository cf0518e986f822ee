"""Tracks requests that may crash, or have crashed, a backend server.

Crashes that happen at one moment, as in the loss of a zone, say little about
the requests in flight, and a popular request is in flight at many of them. So
crashes are counted in chains: a run counts as the next crash of a chain only if
the crashes before it were known when the run began.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

MAX_SUSPECTS = 1_000
MAX_CONVICTED = 1_000
SUSPECT_EXPIRY_S = 600.0
# A first conviction ends after this time, and each further one lasts twice as
# long, so that a wrong one ends and a right one costs few servers.
CONVICTION_S = 3_600.0
MAX_DOUBLINGS = 8
# In place of a chain: the request has crashed nothing.
COMPLETED = 0
# Chain from which a request runs alone, wherever it has crashed servers.
SUSPECT_CHAIN = 2
# Chain from which a request is refused.
CONVICTING_CHAIN = 3
# Crashes from which a request runs alone, whatever their order.
SUSPECT_CRASHES = 3


@attrs.frozen
class CrashEvidence:
    """What one crash of a backend server shows about the requests in flight.

    Attributes:
      boot_id: Boot id of the process that crashed, or '' if it isn't known.
      chains: Length of the chain that ends with this crash, by fingerprint;
        COMPLETED if the request ran to its end instead.
    """

    boot_id: str
    chains: Mapping[str, int]


@attrs.define
class CrashHistory:
    """The known crashes of one fingerprint.

    Attributes:
      expires_s: When they are forgotten.
      chain: Length of the longest chain.
      boot_ids: Boot ids of the processes that crashed.
    """

    expires_s: float
    chain: int = 0
    boot_ids: set[str] = attrs.Factory(set)


@attrs.define(eq=False)
class Quarantine:
    """Fingerprints of suspect and convicted requests, each oldest first.

    A suspect runs alone. A convicted request is refused.

    Attributes:
      now: The clock.
      suspects: Fingerprint to the time at which the suspicion expires.
      convicted: Fingerprint to the time at which the conviction expires.
      histories: The known crashes by fingerprint.
    """

    now: Callable[[], float]
    suspects: dict[str, float] = attrs.Factory(dict)
    convicted: dict[str, float] = attrs.Factory(dict)
    histories: dict[str, CrashHistory] = attrs.Factory(dict)


def make_evidence(
    boot_id: str, known_chains: Sequence[tuple[str, int]]
) -> CrashEvidence:
    """Returns the evidence of one crash.

    Args:
      boot_id: Boot id of the process that crashed.
      known_chains: The fingerprint of each request in flight, and the length of
        its chain when its run began. One that ran alone after an earlier crash
        is convicted.
    """
    is_alone = len(known_chains) == 1
    chains: dict[str, int] = {}
    for fingerprint, chain in known_chains:
        least = CONVICTING_CHAIN if is_alone and chain else 0
        chains[fingerprint] = max(chains.get(fingerprint, 0), chain + 1, least)
    return CrashEvidence(boot_id, chains)


def discard_evidence(_: CrashEvidence) -> None:
    """Ignores evidence, where nothing shares it."""


def split_by_verdict(
    evidence: CrashEvidence,
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the fingerprints that are not convicted, and those that are."""
    suspects = []
    convicted = []
    for fingerprint, chain in evidence.chains.items():
        (convicted if chain >= CONVICTING_CHAIN else suspects).append(
            fingerprint
        )
    return tuple(suspects), tuple(convicted)


def add_evidence(quarantine: Quarantine, evidence: CrashEvidence) -> None:
    """Adds the evidence of one crash; the same one may be added again."""
    for fingerprint, chain in evidence.chains.items():
        if chain == COMPLETED:
            clear_suspects(quarantine, [fingerprint])
            continue
        history = find_history(quarantine, fingerprint) or CrashHistory(0.0)
        quarantine.histories.pop(fingerprint, None)
        quarantine.histories[fingerprint] = history
        history.chain = max(history.chain, chain)
        if len(history.boot_ids) < SUSPECT_CRASHES:
            history.boot_ids.add(evidence.boot_id)
        history.expires_s = quarantine.now() + SUSPECT_EXPIRY_S
        if history.chain >= CONVICTING_CHAIN:
            add_convicted(quarantine, [fingerprint])
        elif (
            history.chain >= SUSPECT_CHAIN
            or len(history.boot_ids) >= SUSPECT_CRASHES
        ):
            add_suspects(quarantine, [fingerprint])
    evict_oldest(quarantine.histories, MAX_SUSPECTS)


def find_history(
    quarantine: Quarantine, fingerprint: str
) -> CrashHistory | None:
    """Returns the known crashes of a fingerprint, or None."""
    history = quarantine.histories.get(fingerprint)
    if history is not None and quarantine.now() >= history.expires_s:
        del quarantine.histories[fingerprint]
        return None
    return history


def known_chain(quarantine: Quarantine, fingerprint: str) -> int:
    """Returns the length of the longest known chain of a fingerprint."""
    history = find_history(quarantine, fingerprint)
    return 0 if history is None else history.chain


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
        history = find_history(quarantine, fingerprint)
        chain = CONVICTING_CHAIN if history is None else history.chain
        doublings = min(max(0, chain - CONVICTING_CHAIN), MAX_DOUBLINGS)
        expires_s = quarantine.now() + CONVICTION_S * 2**doublings
        if history is not None:
            history.expires_s = expires_s + SUSPECT_EXPIRY_S
        quarantine.suspects.pop(fingerprint, None)
        quarantine.convicted.pop(fingerprint, None)
        quarantine.convicted[fingerprint] = expires_s
    evict_oldest(quarantine.convicted, MAX_CONVICTED)


def clear_suspects(quarantine: Quarantine, fingerprints: Iterable[str]) -> None:
    """Removes suspects; convicted fingerprints stay convicted."""
    for fingerprint in fingerprints:
        quarantine.suspects.pop(fingerprint, None)
        if fingerprint not in quarantine.convicted:
            quarantine.histories.pop(fingerprint, None)


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
    """Returns whether a fingerprint is refused.

    When its conviction ends, it is a suspect again.
    """
    expires_s = quarantine.convicted.get(fingerprint)
    if expires_s is None:
        return False
    if quarantine.now() >= expires_s:
        del quarantine.convicted[fingerprint]
        add_suspects(quarantine, [fingerprint])
        return False
    return True


def has_records(quarantine: Quarantine) -> bool:
    """Returns whether any fingerprint is known, without a look at expiry."""
    return bool(
        quarantine.histories or quarantine.suspects or quarantine.convicted
    )


def evict_oldest(table: dict, size: int) -> None:
    """Removes the oldest entries until at most `size` are left."""
    while len(table) > size:
        del table[next(iter(table))]
