"""Tests of waxwinglever_peers.codec."""

import msgspec
import testtools

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import codec
from waxwinglever_peers import messages

MEMBER = cells.Member("a", "i", "127.0.0.1:1", "127.0.0.1:2", "bole")
RECORD = cells.CellRecord("t/s/0", 1, "a", "i", "n", (MEMBER,))
ROUND_TRIPS = (
    messages.Heartbeat(
        "t/s/0",
        2,
        "a",
        "i",
        3,
        2,
        1.5,
        4,
        RECORD,
        (cells.SliceRef(2**64 - 1, 1),),
        member="b",
    ),
    messages.HeartbeatAck("a", "i", True, 2, 3, generations={"t": 1}),
    messages.JoinRequest("t/s/0", MEMBER, True),
    messages.CrashReport("t", "s", ("f",)),
    messages.ErrorReply("conflict", "m", "r"),
)
MALFORMED = (
    b"",
    b"junk",
    msgspec.msgpack.encode({"kind": "Unknown", "body": 1}),
    msgspec.msgpack.encode({"kind": "MapRequest", "body": {"cell": 1}}),
    msgspec.msgpack.encode({"kind": "MapRequest", "body": []}),
    msgspec.msgpack.encode(
        {
            "kind": "DirectoryExchange",
            "body": {"lines": [1], "generations": {}},
        }
    ),
    b"x" * (limits.MAX_MESSAGE_BYTES + 1),
)


class CodecTest(testtools.TestCase):
    """Guards against messages that are altered or crash the receiver."""

    def test_a_decoded_message_equals_the_encoded_one(self):
        for message in ROUND_TRIPS:
            self.assertEqual(message, codec.decode(codec.encode(message)))

    def test_malformed_data_raises_invalid_input(self):
        for data in MALFORMED:
            self.assertRaises(exceptions.InvalidInput, codec.decode, data)

    def test_a_slice_with_an_invalid_range_is_rejected(self):
        body = {
            "cell": "c",
            "version": 1,
            "record": {
                "cell": "c",
                "term": 1,
                "leader": "a",
                "leader_incarnation": "i",
                "nonce": "n",
                "slices": [{"start": 5, "last": 3}],
            },
        }
        data = msgspec.msgpack.encode({"kind": "MapReply", "body": body})
        self.assertRaises(exceptions.InvalidInput, codec.decode, data)
