"""Sends requests and checks that each response belongs to its request."""

import hashlib

import attrs
import urllib3

KEY_HEADER = "Waxwinglever-Key"


@attrs.frozen
class Request:
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
class Response:
    """The result of one request.

    Attributes:
      status: HTTP status, or 0 when there was no response.
      outcome: Value of the daemon's outcome header, or `none`.
      kind: Kind of refusal, or ''.
      is_correct: Whether the response is complete and belongs to the request.
      owner: Address of the owner that the response names, or ''.
      ticket: Ticket that the response grants, or ''.
      body: Body of the response.
    """

    status: int
    outcome: str
    kind: str = ""
    is_correct: bool = False
    owner: str = ""
    ticket: str = ""
    body: bytes = b""


def send(
    pool: urllib3.PoolManager,
    address: str,
    request: Request,
    timeout_s: float = 10.0,
) -> Response:
    """Sends a request to the daemon at an address and checks the response.

    For a POST below /echo the stand-in backend server responds with the request
    body; on other paths with method, path, key and the digest of the body.

    Args:
      pool: Connection pool.
      address: HTTP address of the daemon.
      request: The request.
      timeout_s: Timeout of the HTTP client.

    Returns:
      The result; its status is 0 if there was no complete response.
    """
    headers = urllib3.HTTPHeaderDict(request.headers)
    if request.key is not None:
        headers[KEY_HEADER] = request.key
    url = f"http://{address}/s/{request.tenant}/{request.service}{request.path}"
    try:
        response = pool.request(
            request.method,
            url,
            headers=headers,
            body=request.body or None,
            timeout=timeout_s,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return Response(0, "none")
    return Response(
        status=response.status,
        outcome=response.headers.get("Waxwinglever-Outcome", "none"),
        kind=response.headers.get("Waxwinglever-Refusal", ""),
        is_correct=response.status == 200 and is_response_to(request, response),
        owner=response.headers.get("Waxwinglever-Owner", ""),
        ticket=response.headers.get("Waxwinglever-Ticket", ""),
        body=response.data,
    )


def is_response_to(
    request: Request, response: urllib3.BaseHTTPResponse
) -> bool:
    """Returns whether a response of the stand-in belongs to a request."""
    if request.path.startswith("/echo") and request.method == "POST":
        return response.data == request.body
    try:
        values = response.json()
    except ValueError:
        return False
    digest = hashlib.sha256(request.body).hexdigest()
    return (
        values.get("method") == request.method
        and (values.get("key") or None) == request.key
        and values.get("path") == request.path.partition("?")[0]
        and values.get("body_sha256", digest) == digest
    )
