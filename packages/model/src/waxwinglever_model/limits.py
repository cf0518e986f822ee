"""Time limits and size limits that several packages share."""

HEARTBEAT_INTERVAL_S = 0.2
LEASE_DURATION_S = 1.5
# Clocks may run up to 1% fast or slow. To outlast a lease that is counted on a
# slow clock, a wait on a fast clock must be longer by 1.01 / 0.99.
CLOCK_DRIFT_FACTOR = 1.021
LEASE_EXPIRY_WAIT_S = LEASE_DURATION_S * CLOCK_DRIFT_FACTOR
ELECTION_TIMEOUT_S = 0.7
ELECTION_STAGGER_S = 0.02
ELECTION_STAGGER_MAX_S = 0.2
ELECTION_JITTER_S = 0.1
# A store call must not outlast the lease that it protects (LEASE_DURATION_S).
STORE_TIMEOUT_S = 0.5
PEER_TIMEOUT_S = 0.25
# Longest time for which a lease is renewed during a planned handover.
HANDOVER_TIMEOUT_S = 2.0
# Interval between rebalancings of load. The first one of a term comes this
# long after its start, so that the leader has load reports by then. Slices
# without an owner are assigned at once.
BALANCE_INTERVAL_S = 5.0

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
MAX_RECORD_BYTES = 1_000_000
MAX_MESSAGE_BYTES = 2_000_000
MAX_SLICES = 4096
MAX_MEMBERS = 128
INITIAL_SLICES = 64
MAX_HOPS = 2

DEFAULT_TIMEOUT_MS = 2_000
MAX_TIMEOUT_MS = 60_000
TICKET_PERIOD_S = 300.0
BACKEND_ABSENCE_TIMEOUT_S = 2.0
# A member that is silent for this long and owns nothing is removed from the
# record.
MEMBER_REMOVAL_DELAY_S = 30.0
