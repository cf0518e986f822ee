"""Maps keys to points of the 64-bit hash space."""

import hashlib

SPACE = 1 << 64


def key_point(service: str, key: str) -> int:
    """Returns the point of a service's key in the hash space [0, SPACE)."""
    data = f"{service}\0{key}".encode("utf-8", "surrogatepass")
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
