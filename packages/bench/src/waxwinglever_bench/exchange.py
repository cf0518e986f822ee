"""Measures the processor time of one request with the client of the daemons."""

import statistics
import time

from waxwinglever_model import clock
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client
from waxwinglever_standins import response_samples
from waxwinglever_standins import scripted_server

ROUNDS = 5
DEADLINE_S = 5.0
# As many headers as the response of a backend server has.
HEADERS = tuple(
    b"X-Header-%d: 3e1b.07.5a2.600.0.c9f2a4d1" % n for n in range(7)
)
FRAMINGS = ("length", "chunks")


def measure(framing: str, requests: int) -> float:
    """Returns the processor time of a request, in microseconds.

    The server runs in another thread, whose time does not count.

    Args:
      framing: One of FRAMINGS.
      requests: How many requests are sent in each of the rounds, whose median
        is returned.
    """
    data = response_samples.whole(*HEADERS)[framing].data
    server = scripted_server.start(data, scripted_server.KEEP_OPEN)
    client = connection_pool.Client(1.0)
    rounds_s = []
    try:
        for _ in range(ROUNDS):
            began_s = time.thread_time()
            for _ in range(requests):
                http_client.send_request(
                    client,
                    server.address,
                    "GET",
                    "/item",
                    {"Host": server.address},
                    b"",
                    clock.boottime_s() + DEADLINE_S,
                )
            rounds_s.append(time.thread_time() - began_s)
    finally:
        connection_pool.close_idle(client, server.address)
        scripted_server.stop(server)
    return statistics.median(rounds_s) / requests * 1_000_000
