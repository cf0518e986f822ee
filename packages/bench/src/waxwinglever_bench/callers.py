"""A caller that checks that each reply belongs to its own request."""

import hashlib

import attrs
import urllib3

KEY = "Waxwinglever-Key"


@attrs.frozen
class Call:
    """One request of the bench.

    Attributes:
      method: GET or POST.
      tenant: Name of the tenant.
      service: Name of the service.
      path: Path below the service.
      key: Key, or None.
      body: The body.
      headers: Further headers.
    """

    method: str
    tenant: str
    service: str
    path: str
    key: str | None = None
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Outcome:
    """What came back.

    Attributes:
      status: HTTP status, or 0 when there was no reply.
      outcome: The daemon's outcome header, or `none`.
      kind: Kind of refusal, or ''.
      is_right: Whether the reply is whole and belongs to the request.
      owner: Address of the owner that the reply names.
      ticket: Ticket that the reply names, or ''.
      body: The body.
    """

    status: int
    outcome: str
    kind: str = ""
    is_right: bool = False
    owner: str = ""
    ticket: str = ""
    body: bytes = b""


def send(
    pool: urllib3.PoolManager,
    address: str,
    call: Call,
    timeout_s: float = 10.0,
) -> Outcome:
    """Sends a request to the daemon at an address and checks the reply.

    Bodies below /echo come back as they are; other paths of the stand-in
    backend server answer with method, path, key and the digest of the body.
    """
    headers = urllib3.HTTPHeaderDict(call.headers)
    if call.key is not None:
        headers[KEY] = call.key
    url = f"http://{address}/s/{call.tenant}/{call.service}{call.path}"
    try:
        answer = pool.request(
            call.method,
            url,
            headers=headers,
            body=call.body or None,
            timeout=timeout_s,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return Outcome(0, "none")
    return Outcome(
        status=answer.status,
        outcome=answer.headers.get("Waxwinglever-Outcome", "none"),
        kind=answer.headers.get("Waxwinglever-Refusal", ""),
        is_right=answer.status == 200 and is_right(call, answer),
        owner=answer.headers.get("Waxwinglever-Owner", ""),
        ticket=answer.headers.get("Waxwinglever-Ticket", ""),
        body=answer.data,
    )


def is_right(call: Call, answer: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether an answer of the stand-in belongs to the request."""
    if call.path.startswith("/echo") and call.method == "POST":
        return answer.data == call.body
    try:
        values = answer.json()
    except ValueError:
        return False
    digest = hashlib.sha256(call.body).hexdigest()
    return (
        values.get("method") == call.method
        and (values.get("key") or None) == call.key
        and values.get("path") == call.path.partition("?")[0]
        and values.get("body_sha256", digest) == digest
    )
