"""Reads the operators' pages of a daemon."""

import json

import urllib3

from waxwinglever_model import exceptions
from waxwinglever_model import limits

TIMEOUT_S = 2.0
REMEDY = "check that the daemon runs and that --daemon is its HTTP address"


def fetch(address: str, path: str, params: dict[str, str]) -> dict:
    """Returns the JSON object of a page.

    Args:
      address: host:port of the daemon.
      path: Path of the page.
      params: Query.

    Raises:
      BadRequest: The daemon does not know what the query names.
      PeerUnavailable: The daemon gave no usable answer.
    """
    try:
        with urllib3.PoolManager(retries=False, timeout=TIMEOUT_S) as pool:
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
            f"daemon {address} did not answer: {error}", REMEDY
        ) from error
    return decode(address, response.status, data)


def decode(address: str, status: int, data: bytes) -> dict:
    """Returns the object of an answer; raises as fetch does."""
    try:
        if len(data) > limits.MAX_MESSAGE_BYTES:
            raise ValueError("the answer is too long")
        content = json.loads(data)
        if not isinstance(content, dict):
            raise ValueError("the answer is not an object")
    except (ValueError, RecursionError) as error:
        raise exceptions.PeerUnavailable(
            f"daemon {address} answered {status} without a JSON object:"
            f" {error}",
            REMEDY,
        ) from error
    if status == 200:
        return content
    message = f"daemon {address}: {content.get('message', status)}"
    remedy = str(content.get("remedy", REMEDY))
    if 400 <= status < 500:
        raise exceptions.BadRequest(message, remedy)
    raise exceptions.PeerUnavailable(message, remedy)
