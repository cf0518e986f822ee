"""Tests that the daemons' pages are told from parts of them."""

import json

from waxwinglever_cli import daemon_client
from waxwinglever_model import exceptions
from waxwinglever_standins import reader_suite
from waxwinglever_standins import response_samples

PAGE = {"daemon": "a-0", "state": "ready"}


class PageReaderTest(reader_suite.ReaderSuite):
    """Guards against a part of a page that is taken for whole.

    The first half of the body is a valid document, so that a reader that cuts
    a response is not saved by its JSON parser.
    """

    refusal = exceptions.PeerUnavailable
    body = json.dumps(PAGE).encode().ljust(len(response_samples.BODY))
    is_body_needed = True
    takes_unframed = True

    def read(self) -> dict:
        """Returns a page."""
        return daemon_client.fetch(self.server.address, "/status", {})

    def expected(self, sample: response_samples.Sample) -> dict:
        """Returns the document in a page."""
        return PAGE
