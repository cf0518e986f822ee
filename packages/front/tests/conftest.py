"""The request path of one daemon with a fake backend server and peers."""

import io
import json

import attrs
import pytest

from waxwinglever_admission import gate_state
from waxwinglever_admission import outcomes
from waxwinglever_backend import client as backend_client
from waxwinglever_front import http_messages
from waxwinglever_front import request_context
from waxwinglever_model import cells
from waxwinglever_model import clock
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import membership
from waxwinglever_ownership import node as nodes
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_telemetry import metrics

LOCAL_MEMBER = cells.Member("a", "a-0", "a:p", "a:h", "z")
OTHER = cells.Member("b", "b-0", "b:p", "b:h", "z")
LONG_S = 600.0


def config_value(generation: int = 1, zone_state: str = "in") -> str:
    """Returns a configuration with a service of each kind."""
    service = {
        "instances_min": 1,
        "slots": 10,
        "cold_start": {"initial_slots": 2, "seconds": 0.0},
        "classes": [{"name": "default", "weight": 1}],
        "timeout_ms": 5000,
        "checks_fences": True,
    }
    document = {
        "schema_version": 2,
        "generation": generation,
        "tenant": "t",
        "zones": [{"name": "z", "region": "r", "state": zone_state}],
        "services": [
            {**service, "name": "keyed", "kind": "keyed"},
            {**service, "name": "any", "kind": "any"},
        ],
        "placement": {"move_cost": 0.05, "max_moves": 4, "rules": []},
        "retired": [],
    }
    return json.dumps(
        {
            "generation": generation,
            "documents": {"2": document},
            "history": [],
        }
    )


@attrs.define(eq=False)
class Front:
    """A request context with a fake backend server and fake peers.

    The fakes record the calls to them.

    Attributes:
      service: Service of the local backend server.
      backend_requests: Requests that the backend server received.
      backend_responses: Responses or errors of the backend server for the next
        requests. When the list is empty, it responds to each request.
      forwarded: Address and request of each forwarded request.
      responses: Responses or errors of other daemons for the next forwarded
        requests. When the list is empty, each request runs.
      peer_messages: Address and message of each message to another daemon.
      events: Log events and cancelled calls.
      context: The context of node a, in the cell of `service`.
    """

    service: str = "keyed"
    backend_requests: list = attrs.Factory(list)
    backend_responses: list = attrs.Factory(list)
    forwarded: list = attrs.Factory(list)
    responses: list = attrs.Factory(list)
    peer_messages: list = attrs.Factory(list)
    events: list = attrs.Factory(list)
    context: request_context.RequestContext = attrs.field(init=False)

    def __attrs_post_init__(self):
        peers = links.PeerClient(self.send_to_peer, lambda: None)
        self.context = request_context.RequestContext(
            LOCAL_MEMBER,
            config_cache.ConfigCache(),
            directory.CellDirectory(),
            peers,
            self.forward,
            metrics.Metrics(),
            lambda event, **fields: self.events.append((event, fields)),
        )
        config_cache.apply_if_newer(
            self.context.config_cache, "t", config_value()
        )
        self.context.node = nodes.new_node(
            "t",
            self.service,
            LOCAL_MEMBER,
            nodes.NodeDependencies(None, peers, self.context.log),
            self.context.config_cache,
            self.context.cell_directory,
        )
        self.context.local_backend = request_context.LocalBackend(
            "127.0.0.1:1",
            10,
            backend_client.BackendClient(
                self.send,
                lambda call_id: self.events.append(("cancel", call_id)),
                lambda: backend_client.Health("boot", "ready"),
                lambda: None,
            ),
            gate_state.Gate(gate_state.Policy(10, 9, 10, 0.0), boot_id="boot"),
            outcomes.OutcomeTable("a-0"),
            clock.boottime_s(),
            "ready",
            True,
        )
        self.assign_all("a")

    def assign_all(self, owner: str, epoch: int = 1) -> None:
        """Assigns all slices to a node; node a also gets a lease."""
        (item,) = cells.equal_slices(1)
        if owner:
            item = attrs.evolve(item, owner=owner, epoch=epoch)
        slices = (item,) if self.service == "keyed" else ()
        state = self.context.node.state
        with state.lock:
            state.record = cells.CellRecord(
                state.cell, 1, "a", "a-0", "w", (LOCAL_MEMBER, OTHER), slices
            )
            state.version += 1
            state.leases.clear()
            if owner == "a":
                until = clock.boottime_s() + LONG_S
                state.leases[item.ref] = membership.HeldLease(item, 0.0, until)
            state.lock.notify_all()

    def send(self, backend_request):
        self.backend_requests.append(backend_request)
        backend_response = (
            self.backend_responses.pop(0) if self.backend_responses else None
        )
        if callable(backend_response):
            backend_response = backend_response()
        if isinstance(backend_response, Exception):
            raise backend_response
        return backend_response or backend_client.BackendResponse(
            200, (), b"done", "boot"
        )

    def forward(self, address, request):
        self.forwarded.append((address, request))
        response = self.responses.pop(0) if self.responses else None
        if isinstance(response, Exception):
            raise response
        return response or http_messages.Response(200, (), b"far")

    def send_to_peer(self, address, message, _):
        self.peer_messages.append((address, message))
        return messages.Accepted()

    def request(self, method: str = "POST", **changes) -> http_messages.Request:
        """Returns a request of a caller."""
        values = {
            "tenant": "t",
            "service": self.service,
            "method": method,
            "path": "/x",
            "headers": (),
            "body": b"",
            "key": "k" if self.service == "keyed" else None,
            "request_class": "default",
            "deadline_s": clock.boottime_s() + 30,
        }
        return http_messages.Request(**{**values, **changes})


def environ(path: str, method: str = "GET", body: bytes = b"", **headers):
    """Returns a WSGI environment like that of CherryPy's server."""
    target, _, query = path.partition("?")
    decoded = target.replace("%2F", "/").replace("%2e", ".")
    values = {
        "REQUEST_METHOD": method,
        "SCRIPT_NAME": "/s",
        "PATH_INFO": decoded,
        "QUERY_STRING": query,
        "REQUEST_URI": "/s" + path,
        "wsgi.input": io.BytesIO(body),
    }
    if body:
        values["CONTENT_LENGTH"] = str(len(body))
    return {**values, **headers}


@pytest.fixture(autouse=True)
def front(request: pytest.FixtureRequest) -> None:
    """Sets the functions above as attributes of the test case."""
    request.instance.make_front = Front
    request.instance.environ = environ
    request.instance.config_value = config_value
