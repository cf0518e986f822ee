"""Shares the evidence of crashes with all daemons through the store.

Each crash is one record, which the store removes after RECORD_S. Daemons that
were away or have restarted read the records that are left.
"""

import functools
import queue
import secrets
import threading
from collections.abc import Callable

import attrs
import msgspec

from waxwinglever_admission import gate as gates
from waxwinglever_admission import gate_state
from waxwinglever_admission import quarantine
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import replicas
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

PREFIX = fleet_view.PREFIX + "crashes/"
# The longest lease of the platform's store.
RECORD_S = 600.0
RETRY_S = 0.3
# Evidence that could not be written for so long is dropped.
GIVE_UP_S = 30.0
# In a large fleet the copy of the store changes many times a second.
APPLY_PAUSE_S = 0.1
CHANGE_WAIT_S = 5.0


@attrs.define(eq=False)
class CrashSharing:
    """State of the exchange of evidence.

    Attributes:
      node: Name of this node.
      store: Client of the store.
      replica: Copy of the store below fleet_view.PREFIX.
      gate: The gate that gets the evidence of other daemons.
      log: Called with an event name and fields.
      now: Returns the time in seconds.
      outgoing: Evidence to write, with the time of the crash.
      own_prefix: Prefix of the keys of the records that this run writes.
      applied: Keys of the records that were applied and still exist.
      stopping: Set when the threads must end.
    """

    node: str
    store: leased.LeasedStoreClient
    replica: replicas.Replica
    gate: gate_state.Gate
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    outgoing: queue.SimpleQueue[tuple[quarantine.CrashEvidence, float]] = (
        attrs.Factory(queue.SimpleQueue)
    )
    own_prefix: str = attrs.Factory(
        lambda self: f"{PREFIX}{self.node}/{secrets.token_hex(8)}/",
        takes_self=True,
    )
    applied: set[str] = attrs.Factory(set)
    stopping: threading.Event = attrs.Factory(threading.Event)


def attach(sharing: CrashSharing) -> None:
    """Makes the gate report the evidence of local crashes."""
    sharing.gate.report_evidence = functools.partial(report, sharing)


def report(sharing: CrashSharing, evidence: quarantine.CrashEvidence) -> None:
    """Queues the evidence of a local crash; does not block."""
    sharing.outgoing.put((evidence, sharing.now()))


def run_writes(sharing: CrashSharing) -> None:
    """Writes queued evidence until `stopping` is set; runs in a thread."""
    while not sharing.stopping.is_set():
        evidence, crashed_s = sharing.outgoing.get()
        while not sharing.stopping.is_set() and not try_write(
            sharing, evidence
        ):
            if sharing.now() - crashed_s > GIVE_UP_S:
                sharing.log("crash-record-dropped", life=evidence.boot_id)
                break
            sharing.stopping.wait(RETRY_S)


def try_write(
    sharing: CrashSharing, evidence: quarantine.CrashEvidence
) -> bool:
    """Writes one record; returns whether it is in the store.

    A record that was written without an answer is written once more, under
    another key, which does no harm.
    """
    key = sharing.own_prefix + secrets.token_hex(8)
    try:
        lease = sharing.store.open_lease(RECORD_S)
        sharing.store.commit(
            {},
            [leased.Write(key, msgspec.json.encode(evidence), lease.id)],
            [],
            lease.era,
        )
    except (
        exceptions.StoreUnavailable,
        exceptions.Conflict,
        leased.LeaseExpired,
        leased.StoreRestored,
    ) as error:
        sharing.log(
            "crash-record-failed", life=evidence.boot_id, error=error.message
        )
        return False
    sharing.log(
        "crash-record-written",
        life=evidence.boot_id,
        chains=dict(evidence.chains),
    )
    return True


def run_applying(sharing: CrashSharing) -> None:
    """Applies the records of other daemons; runs in a thread."""
    known_revision = -1
    while not sharing.stopping.is_set():
        known_revision = replicas.wait_for_change(
            sharing.replica, known_revision, CHANGE_WAIT_S
        )
        apply_new_records(sharing)
        sharing.stopping.wait(APPLY_PAUSE_S)


def apply_new_records(sharing: CrashSharing) -> None:
    """Applies the records that were not applied before."""
    items = sharing.replica.items
    keys = {
        key
        for key in items
        if key.startswith(PREFIX) and not key.startswith(sharing.own_prefix)
    }
    new_keys = keys - sharing.applied
    for key in sorted(new_keys, key=lambda key: items[key].version):
        try:
            evidence = msgspec.json.decode(
                items[key].value, type=quarantine.CrashEvidence
            )
        except msgspec.MsgspecError as error:
            sharing.log("store-value-unreadable", key=key, error=str(error))
            continue
        gates.apply_evidence(sharing.gate, evidence)
        sharing.log(
            "crash-record-applied",
            life=evidence.boot_id,
            chains=dict(evidence.chains),
        )
    sharing.applied = keys
