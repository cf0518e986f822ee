"""A node with a backend server that records its calls, for tests of grants."""

import types

import attrs
import testtools

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import grants
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import inline_executor
from waxwinglever_standins import memory_leased_store

# Runs the calls in the calling thread.
INLINE_EXECUTOR = inline_executor.InlineExecutor()
# Fence of the first range of an initial table.
FIRST_FENCE = tables.FENCES_PER_ERA


@attrs.define(eq=False)
class Server:
    """Records the calls that a backend server gets.

    Attributes:
      granted: Fence and seconds of each grant.
      released: Fence of each release.
      silent: Whether calls fail as if they were not answered.
      process: Number of the process that connections reach.
    """

    granted: list[tuple[int, float]] = attrs.field(factory=list)
    released: list[int] = attrs.field(factory=list)
    silent: bool = False
    process: int = 1

    def is_connected(self, process):
        return process == self.process

    def grant(self, _, hold_s, __, ___, use_token):
        self.granted.append((use_token(self.process), hold_s))
        if self.silent:
            raise exceptions.BackendUnavailable("no answer", "none")

    def release(self, item, _):
        self.released.append(item.fence)
        if self.silent:
            raise exceptions.BackendUnavailable("no answer", "none")
        return "token"


class GrantCase(testtools.TestCase):
    """A node whose grants and releases a test controls, and a store in memory.

    Subclasses use the fixture `build` of the tests of waxwinglever_assignment.
    """

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock, self.memory_store = self.build.make_store()
        self.node = self.build.node(self.memory_store, self.clock, "n1")
        self.server = Server()
        self.grant_manager = grant_state.GrantManager(
            "n1",
            "dispatch",
            self.node.fleet,
            self.node.session,
            self.node.session.store,
            grant_state.GrantCalls(
                self.server.is_connected,
                self.server.grant,
                self.server.release,
            ),
            self.build.ignore,
            now=self.clock,
            executor=INLINE_EXECUTOR,
        )
        self.write(
            tables.initial_table(
                "dispatch",
                [("n1", "n1@1", 32_768), ("n2", "n2@1", 32_768)],
                era=self.memory_store.era,
            )
        )
        sessions.confirm(self.node.session)
        self.refresh()

    def write(self, table):
        store = memory_leased_store.connect(self.memory_store)
        if all(table.versions):
            commits.commit(store, self.table(), table)
        else:
            commits.create(store, table)

    def refresh(self):
        replicas.read_prefix(self.node.replica)

    def table(self):
        items = [
            self.memory_store.items[fleet_view.part_key("dispatch", part)]
            for part in range(tables.PARTS)
        ]
        return tables.assemble_table(
            "dispatch",
            [tables.decode(item.value) for item in items],
            [item.version for item in items],
            self.memory_store.era,
        )

    def plan_first_move(self):
        table = tables.update_ranges(
            self.table(), {FIRST_FENCE: {"to_node": "n2"}}
        )
        self.write(table)
        self.add_other_member()

    def add_other_member(self):
        """Adds an entry of n2, whose lease expires within seconds."""
        other = self.build.node(self.memory_store, self.clock, "n2")
        sessions.confirm(other.session)
        self.refresh()

    def reopen_session(self):
        """Opens new sessions of both nodes."""
        sessions.reset_lease(self.node.session)
        sessions.confirm(self.node.session)
        self.add_other_member()

    def advance_to_renewal(self):
        """Moves the clock to the next renewal and confirms the session."""
        self.clock.now_s += sessions.CONFIRMATION_VALID_S - grants.RENEW_BELOW_S
        sessions.confirm(self.node.session)

    def first_tokens(self) -> list[int]:
        """Returns the tokens under which the first range was granted."""
        step = tables.FENCE_STEP
        return [
            token
            for token, _ in self.server.granted
            if token // step == FIRST_FENCE // step and not token % tables.PARTS
        ]
