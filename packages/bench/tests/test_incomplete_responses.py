"""Tests that the bench's callers tell complete responses from all others."""

from waxwinglever_bench import callers
from waxwinglever_bench import fleet as fleets
from waxwinglever_standins import reader_suite


class NoResponseError(Exception):
    """A caller got no complete response."""


class CallerReaderTest(reader_suite.ReaderSuite):
    """Guards against a daemon's fault that the bench does not see."""

    refusal = NoResponseError

    def setUp(self):
        super().setUp()
        self.pool = fleets.new_pool()
        self.addCleanup(self.pool.clear)

    def read(self) -> tuple[int, bytes]:
        """Returns the status and the body of a response."""
        request = callers.Request("GET", "t", "keyed", "/echo")
        response = callers.send(self.pool, self.server.address, request)
        if not response.status:
            raise NoResponseError()
        return response.status, response.body
