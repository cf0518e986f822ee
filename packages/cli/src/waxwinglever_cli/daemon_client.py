"""HTTP client of the pages that a daemon has for operators."""

import json

import urllib3

from waxwinglever_framing import client as framing_client
from waxwinglever_model import exceptions
from waxwinglever_model import limits

TIMEOUT_S = 2.0
UNAVAILABLE_REMEDY = (
    "check that the daemon runs and that --daemon is its HTTP address"
)


def fetch(address: str, path: str, params: dict[str, str]) -> dict:
    """Fetches a page and returns its JSON object.

    Args:
      address: host:port of the daemon.
      path: Path of the page.
      params: Query parameters.

    Raises:
      BadRequest: The daemon refused the query, for example because it names
        an unknown service.
      PeerUnavailable: The daemon sent no usable response.
    """
    try:
        with framing_client.new_pool_manager(
            retries=False, timeout=TIMEOUT_S
        ) as pool:
            response = pool.request(
                "GET",
                f"http://{address}{path}",
                fields=params,
                preload_content=False,
            )
            data = response.read(limits.MAX_MESSAGE_BYTES + 1)
            response.close()
    except urllib3.exceptions.HTTPError as error:
        raise exceptions.PeerUnavailable(
            f"daemon {address} did not answer: {error}", UNAVAILABLE_REMEDY
        ) from error
    return decode_response(address, response.status, data)


def decode_response(address: str, status: int, data: bytes) -> dict:
    """Returns the JSON object in a response, and raises errors like fetch."""
    try:
        if len(data) > limits.MAX_MESSAGE_BYTES:
            raise ValueError("the response is too long")
        content = json.loads(data)
        if not isinstance(content, dict):
            raise ValueError("the response is not an object")
    except (ValueError, RecursionError) as error:
        raise exceptions.PeerUnavailable(
            f"daemon {address} answered {status} without a JSON object:"
            f" {error}",
            UNAVAILABLE_REMEDY,
        ) from error
    if status == 200:
        return content
    message = f"daemon {address}: {content.get('message', status)}"
    remedy = str(content.get("remedy", UNAVAILABLE_REMEDY))
    if 400 <= status < 500:
        raise exceptions.BadRequest(message, remedy)
    raise exceptions.PeerUnavailable(message, remedy)
