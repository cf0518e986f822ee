"""The daemon's settings: a JSON file, checked at start."""

import json
import pathlib

import attrs
import cattrs
import cattrs.errors
import cattrs.v

from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_model import limits


def is_address(_, attribute, value: str) -> None:
    """Checks that a value is IP:port."""
    if not identifiers.is_address(value):
        raise ValueError(f"{attribute.name} must be IP:port, not {value!r}")


def is_name(_, attribute, value: str) -> None:
    """Checks that a value may name a node or zone."""
    if not identifiers.is_name(value):
        raise ValueError(
            f"{attribute.name} must be lower-case letters, digits and dashes,"
            f" not {value!r}"
        )


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Attributes:
      node: Name of the VM's slot; the same after a restart.
      zone: Availability zone.
      http_address: IP:port for callers, operators and forwarded requests.
      peer_address: IP:port for messages between daemons.
      store_address: IP:port of the platform's store.
      http_threads: Connections that are served at once.
      drain_timeout_s: How long a drain may take, in seconds.
      fault_injection: Whether tests may cut links by PUT /faults/.
    """

    node: str = attrs.field(validator=is_name)
    zone: str = attrs.field(validator=is_name)
    http_address: str = attrs.field(validator=is_address)
    peer_address: str = attrs.field(validator=is_address)
    store_address: str = attrs.field(validator=is_address)
    http_threads: int = attrs.field(
        default=128,
        validator=[attrs.validators.ge(16), attrs.validators.le(1024)],
    )
    drain_timeout_s: float = attrs.field(
        default=10.0,
        validator=[attrs.validators.gt(0), attrs.validators.le(300)],
    )
    fault_injection: bool = False


def exact_type(value, kind):
    """Returns the value if it is of the JSON type that the field has.

    cattrs would turn the text "8" into the number 8; a wrong type in a
    settings file is an error.
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    is_right = is_number if kind is float else isinstance(value, kind)
    if not is_right or isinstance(value, bool) != (kind is bool):
        raise ValueError(f"must be {kind.__name__}, not {value!r}")
    return kind(value)


def make_converter() -> cattrs.Converter:
    """Returns a converter that refuses unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, exact_type)
    return converter


def described(error: BaseException, kind: type | None) -> str:
    """Returns the message of a check, which cattrs would leave out."""
    if isinstance(error, ValueError):
        return str(error)
    return cattrs.v.format_exception(error, kind)


def parse(text: str) -> Settings:
    """Returns the settings in JSON text.

    Raises:
      InvalidInput: The text is not valid settings; the message names the key.
    """
    try:
        if len(text) > limits.MAX_RECORD_BYTES:
            raise ValueError(f"over {limits.MAX_RECORD_BYTES} bytes")
        values = json.loads(text)
        if not isinstance(values, dict):
            raise ValueError("the file must hold a JSON object")
        return make_converter().structure(values, Settings)
    except cattrs.errors.ClassValidationError as error:
        details = "; ".join(
            cattrs.transform_error(
                error, path="settings", format_exception=described
            )
        )
        raise exceptions.InvalidInput(
            details, "correct the settings file; see docs/OPERATIONS.md"
        ) from error
    except (ValueError, RecursionError) as error:
        raise exceptions.InvalidInput(
            f"settings: {error}",
            "correct the settings file; see docs/OPERATIONS.md",
        ) from error


def load(path: str) -> Settings:
    """Returns the settings in a file.

    Raises:
      InvalidInput: The file can't be read or is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.InvalidInput(
            f"settings file {path}: {error}", "name a readable JSON file"
        ) from error
    return parse(text)
