"""Crashes of the backend server, as its gate counts them.

The caller of all functions must hold the lock of the gate.
"""

from collections.abc import Iterable

from waxwinglever_admission import dispatching
from waxwinglever_admission import gate_state
from waxwinglever_admission import quarantine


def adopt_chain(
    gate: gate_state.Gate, request_info: gate_state.RequestInfo
) -> None:
    """Adds the crashes of a request of which only its sender knows."""
    fingerprint = request_info.fingerprint
    known = quarantine.known_chain(gate.fingerprints, fingerprint)
    if request_info.known_chain > known:
        quarantine.add_evidence(
            gate.fingerprints,
            quarantine.CrashEvidence(
                "", {fingerprint: request_info.known_chain}
            ),
        )


def add_crash(
    gate: gate_state.Gate,
    boot_id: str | None,
    affected: Iterable[gate_state.Admission],
) -> quarantine.CrashEvidence:
    """Adds and reports the evidence of a crash; returns it.

    Args:
      gate: The gate.
      boot_id: Boot id of the process that crashed.
      affected: The runs that were in flight.
    """
    evidence = quarantine.make_evidence(
        boot_id or "",
        [(a.request_info.fingerprint, a.known_chain) for a in affected],
    )
    if evidence.chains:
        quarantine.add_evidence(gate.fingerprints, evidence)
        gate.report_evidence(evidence)
    return evidence


def report_completed(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> None:
    """Reports that a suspect completed, if others suspect it as well."""
    fingerprint = admission.request_info.fingerprint
    history = quarantine.find_history(gate.fingerprints, fingerprint)
    if history is not None and len(history.boot_ids) > 1:
        gate.report_evidence(
            quarantine.CrashEvidence(
                admission.boot_id or "", {fingerprint: quarantine.COMPLETED}
            )
        )


def end_boot(gate: gate_state.Gate) -> None:
    """Counts a crash of the current process that was not noticed before.

    The process has ended, and its last runs had no response.
    """
    affected = [admission for admission, _ in gate.lost_runs]
    gate.lost_runs.clear()
    for admission in gate.running:
        if admission.boot_id == gate.boot_id and admission not in affected:
            affected.append(admission)
    for admission in affected:
        admission.crashed = True
    if affected and gate.boot_id not in gate.crashed_boot_ids:
        gate.crashed_boot_ids.append(gate.boot_id)
        add_crash(gate, gate.boot_id, affected)
        dispatching.requeue_waiting(gate)


def forget_lost_runs(gate: gate_state.Gate, dispatched_s: float) -> None:
    """Forgets lost runs after which the server answered another one.

    Args:
      gate: The gate.
      dispatched_s: When the run that was answered was dispatched.
    """
    while gate.lost_runs and gate.lost_runs[0][1] <= dispatched_s:
        gate.lost_runs.popleft()
