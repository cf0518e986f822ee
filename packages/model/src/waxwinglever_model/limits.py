"""Time limits and bounds that all packages share."""

HEARTBEAT_INTERVAL_S = 0.2
LEASE_S = 1.5
# Each clock may drift by 1%; a wait on a fast clock that must outlast a lease
# counted on a slow one is longer by 1.01 / 0.99.
DRIFT_FACTOR = 1.021
LEASE_WAIT_S = LEASE_S * DRIFT_FACTOR
ELECTION_SILENCE_S = 0.7
ELECTION_STAGGER_S = 0.02
ELECTION_STAGGER_MAX_S = 0.2
ELECTION_JITTER_S = 0.1
# Shorter than the lease that a store call protects.
STORE_TIMEOUT_S = 0.5
PEER_TIMEOUT_S = 0.25
# A planned handover renews the old lease for this long at most.
HANDOVER_S = 2.0
# Moves that even out load are planned this often, and not before a new leader
# has heard the loads; slices without an owner are placed at once.
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
BACKEND_ABSENCE_S = 2.0
# A member that stays silent for this long and owns nothing leaves the record.
MEMBER_REMOVAL_S = 30.0
