"""Tests of waxwinglever_front.targets."""

import typing

import attrs
import testtools

from waxwinglever_admission import tickets
from waxwinglever_front import targets
from waxwinglever_model import cells
from waxwinglever_ownership import directory
from waxwinglever_peers import links
from waxwinglever_peers import messages


class TargetsTest(testtools.TestCase):
    """Guards against a request that goes to the wrong node."""

    make_front: typing.Any = None

    def test_a_request_with_a_ticket_goes_to_its_issuer(self):
        front = self.make_front(service="any")
        request = front.request(request_id="r")

        def names(item):
            found = targets.candidates(front.context, item)
            return [target.member.node for target in found]

        self.assertEqual(["a", "b"], names(request))
        for incarnation, expected in (("b-0", ["b"]), ("b-9", ["a", "b"])):
            ticket = tickets.Ticket("t/any/0", 0, incarnation, 0)
            given = attrs.evolve(request, ticket=tickets.format_ticket(ticket))
            self.assertEqual(expected, names(given))

    def test_the_record_of_another_cell_is_fetched_once(self):
        front = self.make_front(service="any")
        calls = []
        record = cells.CellRecord(
            "t/keyed/0",
            1,
            "x",
            "x-0",
            "w",
            (cells.Member("x", "x-0", "x:p", "x:h", "z"),),
            tuple(
                attrs.evolve(item, owner="x", epoch=1)
                for item in cells.equal_slices(2)
            ),
        )
        directory.merge(
            front.context.cell_directory, [cells.summarize(record, 4)]
        )

        def call(address, message, _):
            calls.append((address, message))
            if len(calls) == 1:
                raise links.unavailable_error(address, "cut")
            return messages.MapReply(message.cell, 4, record)

        front.context.peers = links.PeerClient(call, lambda: None)
        request = front.request(service="keyed", key="k")
        self.assertIsNone(targets.find_owner(front.context, request))
        for _ in range(2):
            target = targets.find_owner(front.context, request)
            self.assertEqual(("x", 4), (target.member.node, target.version))
        self.assertEqual([("x:p", messages.MapRequest("t/keyed/0"))] * 2, calls)
