"""Tests that each reader of HTTP responses must pass."""

import typing

import testtools

from waxwinglever_standins import response_samples
from waxwinglever_standins import scripted_server

# More than the socket buffers of both sides hold, so that the request is still
# being written when the response arrives.
UPLOAD = b"x" * 16_000_000


class ReaderSuite(testtools.TestCase):
    """Guards against a part of a response that is taken for the whole.

    A test class of a reader inherits it and defines `read`.

    Attributes:
      refusal: The exception for a response that is not complete.
      headers: Lines that the reader needs in each head.
      body: The body of the responses, of 600 bytes.
      is_body_needed: Whether the reader refuses responses with another body.
      takes_unframed: Whether the reader takes a response that ends with its
        connection for complete.
      has_uploads: Whether requests of the reader may have large bodies.
      server: The server whose responses are read.
    """

    refusal: type[Exception] = Exception
    headers: tuple[bytes, ...] = ()
    body = response_samples.BODY
    is_body_needed = False
    takes_unframed = False
    has_uploads = False

    def setUp(self):
        super().setUp()
        self.server = scripted_server.start()
        self.addCleanup(scripted_server.stop, self.server)

    def read(self) -> typing.Any:
        """Returns what the reader makes of the server's next response.

        That is the status and the body for a reader that returns them.
        """
        raise NotImplementedError

    def read_during_upload(self, body: bytes) -> typing.Any:
        """Returns what `read` does, for a request with a large body."""
        raise AssertionError("a class with has_uploads must define this")

    def expected(self, sample: response_samples.Sample) -> typing.Any:
        """Returns what `read` must return for a whole response."""
        return sample.status, sample.body

    def is_refused(self, data: bytes, ending: str) -> bool:
        """Returns whether the reader refuses a response."""
        self.server.data, self.server.ending = data, ending
        try:
            self.read()
        except self.refusal:
            return True
        return False

    def whole_samples(self) -> dict[str, response_samples.Sample]:
        """Returns the complete responses that the reader must accept."""
        return {
            name: sample
            for name, sample in response_samples.whole(
                *self.headers, body=self.body
            ).items()
            if sample.body == self.body or not self.is_body_needed
        }

    def test_whole_responses_pass(self):
        self.server.ending = scripted_server.KEEP_OPEN
        for name, sample in self.whole_samples().items():
            self.server.data = sample.data
            self.assertEqual(self.expected(sample), self.read(), name)

    def test_shorter_responses_are_refused(self):
        for name, sample in self.whole_samples().items():
            taken = [
                size
                for size in range(len(sample.data))
                if not self.is_refused(
                    sample.data[:size], scripted_server.CLOSE
                )
            ]
            self.assertEqual([], taken, name)

    def test_malformed_responses_are_refused(self):
        samples = response_samples.malformed(*self.headers, body=self.body)
        taken = [
            name
            for name, data in samples.items()
            if not self.is_refused(data, scripted_server.CLOSE)
        ]
        self.assertEqual([], taken)

    def test_invalid_statuses_are_refused(self):
        # Statuses from 600 to 999 were passed on.
        samples = response_samples.invalid_statuses(
            *self.headers, body=self.body
        ) | response_samples.other_versions(*self.headers, body=self.body)
        taken = [
            name
            for name, data in samples.items()
            if not self.is_refused(data, scripted_server.CLOSE)
        ]
        self.assertEqual([], taken)

    def test_responses_cut_during_an_upload_are_refused(self):
        # A reset may end the writing of the request, and the read behind it
        # then shows the end of the connection alone.
        if not self.has_uploads:
            return
        data = response_samples.until_close(*self.headers, body=self.body)
        self.server.reads_bodies = False
        self.server.data = data[:-300]
        for ending in (scripted_server.RESET, scripted_server.CLOSE_THEN_RESET):
            self.server.ending = ending
            taken = 0
            for _ in range(20):
                try:
                    self.read_during_upload(UPLOAD)
                    taken += 1
                except self.refusal:
                    pass
            self.assertEqual(0, taken, ending)

    def test_invalid_statuses_during_an_upload_are_refused(self):
        # A reader that stops writing reads the response in another place.
        if not self.has_uploads:
            return
        samples = response_samples.invalid_statuses(
            *self.headers, body=self.body
        )
        self.server.reads_bodies = False
        for ending in (scripted_server.RESET, scripted_server.CLOSE):
            self.server.ending = ending
            for name in ("000", "000 without a reason", "000, no length"):
                self.server.data = samples[name]
                for _ in range(5):
                    self.assertRaises(
                        self.refusal, self.read_during_upload, UPLOAD
                    )

    def test_responses_without_length_are_refused_if_they_are_reset(self):
        data = response_samples.until_close(*self.headers, body=self.body)
        if self.takes_unframed:
            self.server.data, self.server.ending = data, scripted_server.CLOSE
            whole = response_samples.Sample(data, body=self.body)
            self.assertEqual(self.expected(whole), self.read())
        else:
            self.assertTrue(self.is_refused(data, scripted_server.CLOSE))
        for ending in (scripted_server.RESET, scripted_server.CLOSE_THEN_RESET):
            self.assertEqual(
                [True] * 50,
                [self.is_refused(data[:-300], ending) for _ in range(50)],
                ending,
            )

    def test_cut_heads_without_length_are_refused(self):
        data = response_samples.until_close(*self.headers, body=self.body)
        taken = [
            size
            for size in range(data.index(b"\r\n\r\n") + 4)
            if not self.is_refused(data[:size], scripted_server.CLOSE)
        ]
        self.assertEqual([], taken)

    def test_connection_with_bytes_behind_a_response_is_not_used_again(self):
        length = self.whole_samples()["length"]
        self.server.data = length.data + length.data[:100]
        self.server.ending = scripted_server.KEEP_OPEN
        for _ in range(3):
            self.assertEqual(self.expected(length), self.read())
        self.assertEqual(3, self.server.connections)
