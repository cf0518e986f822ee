"""JSON values of headers between daemons."""

import json

import msgspec


def encode(value: object) -> str:
    """Returns a value as JSON for a header.

    Characters outside ASCII are escaped: headers can carry Latin-1 only, and
    names in other scripts made the request impossible to encode.
    """
    text = msgspec.json.encode(value).decode()
    return text if text.isascii() else json.dumps(json.loads(text))
