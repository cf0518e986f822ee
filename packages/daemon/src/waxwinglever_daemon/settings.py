"""The daemon's settings: a JSON file, validated at start."""

import json
import pathlib

import attrs
import cattrs
import cattrs.errors
import cattrs.v

from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_model import limits


def validate_address(_, attribute, value: str) -> None:
    """Raises ValueError unless a value is IP:port, as an attrs validator."""
    if not identifiers.is_address(value):
        raise ValueError(f"{attribute.name} must be IP:port, not {value!r}")


def validate_name(_, attribute, value: str) -> None:
    """Raises ValueError unless a value is a name, as an attrs validator."""
    if not identifiers.is_name(value):
        raise ValueError(
            f"{attribute.name} must be lower-case letters, digits and dashes,"
            f" not {value!r}"
        )


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Attributes:
      node: Name of the node; stays the same after a restart.
      zone: Availability zone.
      http_address: IP:port for callers, operators and forwarded requests.
      peer_address: IP:port for messages between daemons.
      store_address: IP:port of the platform's store.
      http_threads: Number of HTTP connections served at the same time.
      drain_timeout_s: How long a drain may take.
      fault_injection: Whether tests may inject faults with PUT /faults/.
    """

    node: str = attrs.field(validator=validate_name)
    zone: str = attrs.field(validator=validate_name)
    http_address: str = attrs.field(validator=validate_address)
    peer_address: str = attrs.field(validator=validate_address)
    store_address: str = attrs.field(validator=validate_address)
    http_threads: int = attrs.field(
        default=128,
        validator=[attrs.validators.ge(16), attrs.validators.le(1024)],
    )
    drain_timeout_s: float = attrs.field(
        default=10.0,
        validator=[attrs.validators.gt(0), attrs.validators.le(300)],
    )
    fault_injection: bool = False


def structure_exact_type(value, expected_type):
    """Returns the value converted to a field's type, as a cattrs hook.

    By default cattrs turns the string "8" into the number 8. In a settings
    file a value of the wrong type is an error.

    Raises:
      ValueError: The value has another JSON type than the field.
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    is_expected = (
        is_number
        if expected_type is float
        else isinstance(value, expected_type)
    )
    if not is_expected or isinstance(value, bool) != (expected_type is bool):
        raise ValueError(f"must be {expected_type.__name__}, not {value!r}")
    return expected_type(value)


def make_converter() -> cattrs.Converter:
    """Returns a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for expected_type in (str, int, float, bool):
        converter.register_structure_hook(expected_type, structure_exact_type)
    return converter


def format_error(error: BaseException, expected_type: type | None) -> str:
    """Formats an error for cattrs.

    By default cattrs replaces the text of a ValueError by a generic one.
    """
    if isinstance(error, ValueError):
        return str(error)
    return cattrs.v.format_exception(error, expected_type)


def parse(text: str) -> Settings:
    """Parses and validates settings in JSON.

    Raises:
      InvalidInput: The settings are invalid; the message names the key.
    """
    try:
        if len(text) > limits.MAX_RECORD_BYTES:
            raise ValueError(f"longer than {limits.MAX_RECORD_BYTES} bytes")
        values = json.loads(text)
        if not isinstance(values, dict):
            raise ValueError("the file must contain a JSON object")
        return make_converter().structure(values, Settings)
    except cattrs.errors.ClassValidationError as error:
        details = "; ".join(
            cattrs.transform_error(
                error, path="settings", format_exception=format_error
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
    """Reads and validates a settings file.

    Raises:
      InvalidInput: The file can't be read or its settings are invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.InvalidInput(
            f"settings file {path}: {error}",
            "pass a readable JSON file to --settings",
        ) from error
    return parse(text)
