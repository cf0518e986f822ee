"""Sends requests and checks that each reply belongs to its request."""

import hashlib

import attrs
import urllib3

KEY = "Waxwinglever-Key"


@attrs.frozen
class Call:
    """One request that the bench sends.

    Attributes:
      method: GET or POST.
      tenant: Name of the tenant.
      service: Name of the service.
      path: Path below the service.
      key: Key of the request, or None.
      body: Body of the request.
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
    """The result of one request.

    Attributes:
      status: HTTP status, or 0 when there was no reply.
      outcome: Value of the daemon's outcome header, or `none`.
      kind: Kind of refusal, or ''.
      is_right: Whether the reply is complete and belongs to the request.
      owner: Address of the owner that the reply names, or ''.
      ticket: Ticket that the reply grants, or ''.
      body: Body of the reply.
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

    For a POST below /echo the stand-in backend server replies with the request
    body; on other paths with method, path, key and the digest of the body.

    Args:
      pool: Connection pool.
      address: HTTP address of the daemon.
      call: The request.
      timeout_s: Timeout of the HTTP client.

    Returns:
      The result; its status is 0 if there was no complete reply.
    """
    headers = urllib3.HTTPHeaderDict(call.headers)
    if call.key is not None:
        headers[KEY] = call.key
    url = f"http://{address}/s/{call.tenant}/{call.service}{call.path}"
    try:
        reply = pool.request(
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
        status=reply.status,
        outcome=reply.headers.get("Waxwinglever-Outcome", "none"),
        kind=reply.headers.get("Waxwinglever-Refusal", ""),
        is_right=reply.status == 200 and is_reply_to(call, reply),
        owner=reply.headers.get("Waxwinglever-Owner", ""),
        ticket=reply.headers.get("Waxwinglever-Ticket", ""),
        body=reply.data,
    )


def is_reply_to(call: Call, reply: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether a reply of the stand-in backend belongs to a request."""
    if call.path.startswith("/echo") and call.method == "POST":
        return reply.data == call.body
    try:
        values = reply.json()
    except ValueError:
        return False
    digest = hashlib.sha256(call.body).hexdigest()
    return (
        values.get("method") == call.method
        and (values.get("key") or None) == call.key
        and values.get("path") == call.path.partition("?")[0]
        and values.get("body_sha256", digest) == digest
    )
