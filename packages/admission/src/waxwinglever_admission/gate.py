"""The gate: admission control in front of a backend server.

All requests to the backend server pass through its gate. The thread of each
connection calls `admit`. The thread that changes the state of the gate also
decides, under its lock, which waiting requests run next, and wakes only their
threads. One waiting thread, that of `timer_waiter`, also wakes when the
cold-start ramp raises the limit, the rate limit lets a request start, or a
suspect's turn ends unused.
"""

import contextlib
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from waxwinglever_admission import bands
from waxwinglever_admission import crash_accounting
from waxwinglever_admission import dispatching
from waxwinglever_admission import gate_state
from waxwinglever_admission import quarantine
from waxwinglever_admission import rate_limits
from waxwinglever_admission import refusals
from waxwinglever_admission import returns
from waxwinglever_model import exceptions

# Classes without a configured weight are treated as this one class, so that
# callers can't grow the state with made-up class names.
OTHER_CLASS = ""


@contextlib.contextmanager
def admit(
    gate: gate_state.Gate,
    request_info: gate_state.RequestInfo,
    check: Callable[[], None],
) -> Iterator[gate_state.Admission]:
    """Waits for a slot and holds it while the body runs.

    Args:
      gate: The gate.
      request_info: The request.
      check: Called with the slot held, right before the body; may raise a
        Refusal.

    Yields:
      The admission. A suspect is cleared when the body ends without an
      exception, so the body must raise one if the response was lost.

    Raises:
      Overloaded: The deadline would pass before the request is done, or the
        queue is full.
      RateLimited: The same, because the server limits its requests a second.
      ShareExceeded: The queue is full and the class is over its share.
      Draining: The gate is closed (see `close`).
      Quarantined: The request is convicted of a crash.
    """
    admission = submit(gate, request_info)
    wait_for_slot(gate, admission)
    started_s = None
    completed = False
    not_run = False
    try:
        check()
        started_s = gate.now()
        yield admission
        completed = True
    except exceptions.NotExecuted:
        not_run = True
        raise
    finally:
        service_s = None
        if started_s is not None and not not_run:
            service_s = max(0.0, gate.now() - started_s)
        release_slot(gate, admission, completed, service_s)


def submit(
    gate: gate_state.Gate, request_info: gate_state.RequestInfo
) -> gate_state.Admission:
    """Queues a request and dispatches what can start now.

    Raises:
      Refusal: The request is refused at once; see `admit`.
    """
    with gate.lock:
        now_s = gate.now()
        if request_info.known_chain:
            crash_accounting.adopt_chain(gate, request_info)
        if quarantine.is_convicted(gate.fingerprints, request_info.fingerprint):
            raise refusals.quarantined_error()
        if gate.draining:
            raise refusals.draining_error()
        if rate_limits.is_limited(gate.rate_limit):
            # A waiting request may be due whose thread has not woken yet.
            dispatching.dispatch(gate)
        weights = gate.policy.weights
        has_weight = request_info.request_class in weights
        request_class = (
            request_info.request_class if has_weight else OTHER_CLASS
        )
        service_s = dispatching.expected_service_s(gate, request_class)
        admission = gate_state.Admission(
            request_info, request_class, request_info.deadline_s - service_s
        )
        if gate.policy.band_settings is not None:
            dispatching.register(gate, admission)
        wait_s = dispatching.expected_wait_s(gate, admission)
        if now_s + wait_s >= admission.latest_start_s:
            raise dispatching.unserved_error(
                gate, admission, "the deadline would pass first", wait_s
            )
        waiting_count = dispatching.ordinary_size(gate) + gate.suspects.size
        # A request that starts at once doesn't count against the queue limit.
        if waiting_count >= rate_limits.max_waiting(
            gate.rate_limit, gate.policy.queue_limit
        ) and not dispatching.starts_now(gate, admission):
            dispatching.displace_or_refuse(gate, admission, wait_s)
        dispatching.enqueue(gate, admission)
        dispatching.dispatch(gate)
        return admission


def wait_for_slot(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> None:
    """Blocks until the request has a slot.

    Raises:
      Refusal: The request was refused, or its deadline passed.
    """
    while (left_s := poll(gate, admission)) is not None:
        admission.woken.wait(left_s)
    if gate.now() >= admission.request_info.deadline_s:
        # The thread was woken too late.
        release_slot(gate, admission, False, None)
        raise refusals.overloaded_error("the deadline passed before dispatch")


def poll(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float | None:
    """Returns after how many seconds a request's thread must poll again.

    Returns:
      None if the request has a slot. Otherwise its thread waits for that time
      or until `woken` is set.

    Raises:
      Refusal: The request was refused.
    """
    with gate.lock:
        now_s = gate.now()
        if (
            admission.state == gate_state.WAITING
            and now_s >= admission.latest_start_s
        ):
            dispatching.refuse(
                gate,
                admission,
                dispatching.unserved_error(
                    gate, admission, "no slot was free in time"
                ),
            )
            dispatching.dispatch(gate)
        elif gate.timer_waiter is admission:
            dispatching.dispatch(gate)
        admission.woken.clear()
        if admission.refusal is not None:
            raise admission.refusal
        if admission.state == gate_state.RUNNING:
            return None
        until_s = admission.latest_start_s
        if gate.timer_waiter is admission and gate.timer_s is not None:
            until_s = min(until_s, gate.timer_s)
        return max(0.0, until_s - now_s)


def release_slot(
    gate: gate_state.Gate,
    admission: gate_state.Admission,
    completed: bool,
    service_s: float | None,
) -> None:
    """Frees the slot of a request.

    Args:
      gate: The gate.
      admission: A request that has a slot.
      completed: Whether the body of `admit` ended without an exception.
      service_s: How long it ran, or None when it did not run.
    """
    with gate.lock:
        del gate.running[admission]
        if admission.holds_level:
            bands.end(gate.banded, admission.place.request_class)
        admission.state = gate_state.ENDED
        if gate.exclusive is admission:
            gate.exclusive = None
            dispatching.end_suspect_turn(gate)
        fingerprint = admission.request_info.fingerprint
        if completed and not admission.crashed:
            if quarantine.is_suspect(gate.fingerprints, fingerprint):
                admission.cleared = True
                crash_accounting.report_completed(gate, admission)
            quarantine.clear_suspects(gate.fingerprints, [fingerprint])
            crash_accounting.forget_lost_runs(gate, admission.dispatched_s)
        if service_s is not None:
            dispatching.record_service_time(
                gate, admission.request_class, service_s
            )
        dispatching.dispatch(gate)


def record_boot_id(gate: gate_state.Gate, boot_id: str) -> None:
    """Records the boot id in an announcement or response.

    A new boot id restarts the ramp. The current one after a connection failure
    shows that the backend server did not restart, and ends the probing.
    """
    with gate.lock:
        if boot_id in gate.past_boot_ids:
            # A late response from a process that has ended.
            return
        if boot_id == gate.boot_id and not gate.probing:
            return
        if boot_id != gate.boot_id:
            crash_accounting.end_boot(gate)
            gate.past_boot_ids.append(gate.boot_id)
            gate.boot_id = boot_id
            gate.ramp_start_s = gate.now()
        gate.probing = False
        dispatching.dispatch(gate)


def record_connection_failure(gate: gate_state.Gate) -> None:
    """Records a connection failure: the limit is 1 until a boot id arrives."""
    with gate.lock:
        gate.probing = True
        dispatching.dispatch(gate)


def record_crash(gate: gate_state.Gate) -> gate_state.CrashVerdict:
    """Records a broken connection to the backend server as a crash.

    It must be called inside the body of `admit`, while the request counts as
    in flight. Every thread whose connection broke reports the same crash. To
    count it once, a report is assigned to the boot id under which the oldest
    request in flight was dispatched.

    Returns:
      The new suspects, or the convicted request if a suspect ran alone; empty
      if the crash was counted before.
    """
    with gate.lock:
        oldest = next(iter(gate.running), None)
        boot_id = gate.boot_id if oldest is None else oldest.boot_id
        affected = [a for a in gate.running if a.boot_id == boot_id]
        for admission in affected:
            admission.crashed = True
        if boot_id == gate.boot_id:
            gate.probing = True
        if boot_id in gate.crashed_boot_ids:
            dispatching.dispatch(gate)
            return gate_state.CrashVerdict()
        gate.crashed_boot_ids.append(boot_id)
        gate.lost_runs.clear()
        evidence = crash_accounting.add_crash(gate, boot_id, affected)
        verdict = gate_state.CrashVerdict(
            *quarantine.split_by_verdict(evidence)
        )
        dispatching.update_quarantine(
            gate, verdict.suspects, verdict.convicted, ()
        )
        return verdict


def record_lost_response(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> None:
    """Records that a server that can still be reached gave no response.

    It must be called inside the body of `admit`. If the server turns out to
    have restarted, this run counts as in flight at its crash.
    """
    with gate.lock:
        # After a new boot id, `end_boot` has counted it already.
        if not admission.crashed and admission.boot_id == gate.boot_id:
            gate.lost_runs.append((admission, gate.now()))


def apply_evidence(
    gate: gate_state.Gate, evidence: quarantine.CrashEvidence
) -> None:
    """Applies the evidence of a crash that another daemon has seen."""
    with gate.lock:
        quarantine.add_evidence(gate.fingerprints, evidence)
        dispatching.requeue_waiting(gate)


def known_chain(gate: gate_state.Gate, fingerprint: str) -> int:
    """Returns the known chain of crashes of a request.

    Raises:
      Quarantined: The request is convicted.
    """
    with gate.lock:
        if quarantine.is_convicted(gate.fingerprints, fingerprint):
            raise refusals.quarantined_error()
        return quarantine.known_chain(gate.fingerprints, fingerprint)


def apply_crash_report(
    gate: gate_state.Gate,
    suspects: Iterable[str],
    convicted: Iterable[str],
    cleared: Iterable[str],
) -> None:
    """Applies a crash report of another daemon of the service."""
    with gate.lock:
        dispatching.update_quarantine(gate, suspects, convicted, cleared)


def set_policy(gate: gate_state.Gate, policy: gate_state.Policy) -> None:
    """Replaces the configured limits; requests in flight go on.

    A ramp in progress keeps its start time and uses the new values.
    """
    with gate.lock:
        was_banded = gate.policy.band_settings is not None
        gate.policy = policy
        gate.ordinary.weights = policy.weights
        gate.suspects.weights = policy.weights
        if was_banded != (policy.band_settings is not None):
            # The waiting requests go into the other queue.
            gate.promises = returns.Returns()
            if was_banded:
                for admission in dispatching.waiting_admissions(gate):
                    admission.latest_start_s = admission.request_info.deadline_s
            dispatching.requeue_waiting(gate)
        dispatching.dispatch(gate)


def set_rate_limit(gate: gate_state.Gate, rate_per_s: float | None) -> None:
    """Sets the requests a second that the server takes; None for no limit.

    Requests that wait already are started at the new rate.
    """
    with gate.lock:
        rate_limits.set_rate(gate.rate_limit, rate_per_s, gate.now())
        dispatching.dispatch(gate)


def close(gate: gate_state.Gate) -> None:
    """Refuses new and waiting requests; requests in flight go on."""
    with gate.lock:
        gate.draining = True
        for admission in dispatching.waiting_admissions(gate):
            dispatching.refuse(gate, admission, refusals.draining_error())


def snapshot(gate: gate_state.Gate) -> gate_state.Snapshot:
    """Returns a copy of the gate's state."""
    with gate.lock:
        return gate_state.Snapshot(
            limit=dispatching.limit(gate),
            rate_limit_per_s=gate.rate_limit.rate_per_s,
            in_flight=len(gate.running),
            waiting=dispatching.ordinary_size(gate),
            waiting_suspects=gate.suspects.size,
            suspects=len(gate.fingerprints.suspects),
            convicted=len(gate.fingerprints.convicted),
            probing=gate.probing,
            draining=gate.draining,
            service_s=gate.mean_service_s,
            waiting_late=gate.banded.late.size,
            shed=dict(gate.shed),
            return_counts=dict(gate.promises.counts),
        )
