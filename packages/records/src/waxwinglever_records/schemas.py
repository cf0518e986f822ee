"""Formats of stored configuration, and strict conversion from JSON."""

import json
import math
import typing
from collections.abc import Callable

import attrs
import cattrs
from cattrs import gen

from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_model import limits

ROOT = "$"
NAME_REMEDY = "use up to 63 lower-case letters, digits and hyphens"
UNIT_NAMES = {"ms": "milliseconds", "s": "seconds", "seconds": "seconds"}
# Largest integer that every reader can represent exactly; readers in some
# languages parse JSON numbers as doubles.
MAX_INTEGER = 2**53 - 1
MAX_NUMBER = 1e9


class FieldError(exceptions.InvalidInput):
    """A value that is not valid for its field.

    Attributes:
      field: Path of the value, relative to the object that was refused.
      others: Further errors of the same object.
    """

    def __init__(self, field: str, message: str, remedy: str):
        super().__init__(message, remedy)
        self.field = field
        self.others: tuple[FieldError, ...] = ()


def raise_first(errors: typing.Iterable[FieldError]) -> None:
    """Raises the first of the errors, which gets the others; none if empty."""
    found = tuple(errors)
    if found:
        found[0].others = found[1:]
        raise found[0]


def validate_name(_, attribute: attrs.Attribute, text: str) -> None:
    """Validates the name of a tenant, zone, service, class or node."""
    if not identifiers.is_name(text):
        raise FieldError(
            attribute.name,
            f"{text[:64]!r} is not a name",
            NAME_REMEDY,
        )


def validate_names(
    _, attribute: attrs.Attribute, texts: tuple[str, ...]
) -> None:
    """Validates a list of names without duplicates."""
    for index, text in enumerate(texts):
        if not identifiers.is_name(text):
            raise FieldError(
                f"{attribute.name}[{index}]",
                f"{text[:64]!r} is not a name",
                NAME_REMEDY,
            )
    reject_duplicates(attribute.name, texts)


def one_of(*choices: str) -> Callable:
    """Returns an attrs validator that allows only `choices`."""

    def check(_, attribute: attrs.Attribute, text: str) -> None:
        if text not in choices:
            raise FieldError(
                attribute.name,
                f"{text[:64]!r} is not a known {attribute.name}",
                f"use one of: {', '.join(choices)}",
            )

    return check


def between(low: float, high: float) -> Callable:
    """Returns an attrs validator that allows numbers in [low, high]."""

    def check(_, attribute: attrs.Attribute, number: float) -> None:
        if not low <= number <= high:
            raise FieldError(
                attribute.name,
                f"{number} is out of range",
                f"use a number from {low} to {high}",
            )

    return check


def positive(high: float = MAX_NUMBER) -> Callable:
    """Returns an attrs validator that allows numbers in (0, high]."""

    def check(_, attribute: attrs.Attribute, number: float) -> None:
        if not 0 < number <= high:
            raise FieldError(
                attribute.name,
                f"{number} is out of range",
                f"use a number above 0 and up to {high}",
            )

    return check


def reject_duplicates(field: str, items: typing.Iterable[str]) -> None:
    """Raises FieldError if an item occurs twice in the list `field`."""
    raise_first(duplicate_errors(field, items))


def duplicate_errors(
    field: str, items: typing.Iterable[str]
) -> typing.Iterator[FieldError]:
    """Yields an error for each item that occurs again in the list `field`."""
    seen = set()
    for index, item in enumerate(items):
        if item in seen:
            yield FieldError(
                f"{field}[{index}]",
                f"{item!r} is listed twice",
                "keep one of the two entries",
            )
        seen.add(item)


@attrs.frozen
class HistoryEntry:
    """One write of a tenant's configuration.

    Attributes:
      generation: The generation that the write created.
      time: Time of the write by the writer's clock, in UTC and ISO 8601.
      author: Who made the change.
      message: Reason for the change.
      nonce: Random id of the write. A writer whose response was lost looks for
        it to determine whether the write took effect.
    """

    generation: int
    time: str
    author: str
    message: str
    nonce: str


@attrs.frozen
class StoredConfig:
    """The stored configuration of one tenant.

    Attributes:
      generation: Generation of the configuration, the same in all documents.
      documents: The configuration as one document for each schema version;
        the keys are the versions in decimal.
      history: The latest writes, oldest first.
    """

    generation: int = attrs.field(validator=between(1, MAX_INTEGER))
    documents: dict[str, dict]
    history: tuple[HistoryEntry, ...] = ()


@attrs.frozen
class ZoneV1:
    """A zone in schema version 1."""

    name: str
    region: str
    state: str


@attrs.frozen
class ServiceV1:
    """A service in schema version 1.

    The fields of the cold start are part of the service, and request classes
    have no weights.
    """

    name: str
    kind: str
    instances_min: int
    slots: int
    cold_start_slots: int = attrs.field(validator=between(1, MAX_INTEGER))
    cold_start_s: float = attrs.field(validator=between(0, 3600))
    classes: tuple[str, ...]
    timeout_ms: int = limits.DEFAULT_TIMEOUT_MS
    checks_fences: bool = False

    def __attrs_post_init__(self):
        # Checked before the upgrade to version 2, where the error would name a
        # key that the document doesn't have.
        if self.cold_start_slots > self.slots:
            raise FieldError(
                "cold_start_slots",
                f"{self.cold_start_slots} is over the service's slots",
                f"use at most {self.slots}",
            )


@attrs.frozen
class PlacementRuleV1:
    """A placement rule in schema version 1."""

    service: str
    zones: tuple[str, ...] = ()


@attrs.frozen
class PlacementV1:
    """Placement settings in schema version 1."""

    move_cost: float
    max_moves: int
    rules: tuple[PlacementRuleV1, ...] = ()


@attrs.frozen
class DocumentV1:
    """A document of schema version 1."""

    schema_version: int
    generation: int
    tenant: str
    zones: tuple[ZoneV1, ...]
    services: tuple[ServiceV1, ...]
    placement: PlacementV1


def upgrade_v1(document: DocumentV1) -> dict:
    """Converts a document of schema version 1 to version 2."""
    upgraded = attrs.asdict(document, value_serializer=tuple_to_list)
    upgraded["retired"] = []
    for service in upgraded["services"]:
        service["cold_start"] = {
            "initial_slots": service.pop("cold_start_slots"),
            "seconds": service.pop("cold_start_s"),
        }
        service["classes"] = [
            {"name": item, "weight": 1.0} for item in service["classes"]
        ]
    return upgraded


def tuple_to_list(_, __, value: object) -> object:
    """Value serializer of attrs.asdict that converts tuples to lists."""
    return list(value) if isinstance(value, tuple) else value


def load_json(text: str) -> object:
    """Returns the decoded content of a JSON text.

    Raises:
      InvalidInput: The text is over MAX_RECORD_BYTES, is not valid JSON, or
        repeats a key in an object.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > limits.MAX_RECORD_BYTES:
        raise exceptions.InvalidInput(
            f"{ROOT}: {size} bytes are over the limit",
            f"keep a record under {limits.MAX_RECORD_BYTES} bytes",
        )
    try:
        return json.loads(
            text,
            object_pairs_hook=reject_repeated_keys,
            parse_constant=reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise exceptions.InvalidInput(
            f"{ROOT}: not JSON: {error}", "correct the syntax"
        ) from error


def reject_repeated_keys(pairs: list[tuple[str, object]]) -> dict:
    """Returns `pairs` as a dict; raises ValueError for a repeated key.

    json.loads would keep only the last value of such a key.
    """
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("an object has the same key twice")
    return found


def reject_constant(text: str) -> None:
    """Raises ValueError for NaN and infinities, which are not valid JSON."""
    raise ValueError(f"{text} is not a valid JSON number")


def structure(content: object, kind: type, path: str = ROOT) -> typing.Any:
    """Returns `content` as an instance of the attrs class `kind`.

    Args:
      content: Decoded JSON.
      kind: The attrs class.
      path: Path of the content, for error messages.

    Raises:
      InvalidInput: The content does not match the class; the error names the
        path and the remedy.
    """
    try:
        return CONVERTER.structure(content, kind)
    except (cattrs.BaseValidationError, exceptions.InvalidInput) as error:
        raise to_invalid_input(error, path) from error


def to_invalid_input(error: Exception, path: str) -> exceptions.InvalidInput:
    """Returns the first cause of a structuring error, with its path."""
    while isinstance(error, cattrs.BaseValidationError):
        with_notes, others = error.group_exceptions()
        if with_notes and not others:
            error, note = with_notes[0]
            if isinstance(note, cattrs.AttributeValidationNote):
                path = f"{path}.{note.name}"
            else:
                path = f"{path}[{note.index}]"
        else:
            error = others[0]
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        unknown_key = sorted(error.extra_fields)[0]
        known = [item.name for item in attrs.fields(error.cl)]
        return exceptions.InvalidInput(
            f"{path}.{unknown_key[:64]}: unknown key",
            key_remedy(unknown_key, known),
        )
    if isinstance(error, KeyError):
        return exceptions.InvalidInput(f"{path}: missing", "add the key")
    if isinstance(error, FieldError):
        field = f".{error.field}" if error.field else ""
        return exceptions.InvalidInput(
            f"{path}{field}: {error.message}", error.remedy
        )
    return exceptions.InvalidInput(f"{path}: {error}", "correct the value")


def key_remedy(unknown_key: str, known: list[str]) -> str:
    """Returns the remedy for an unknown key.

    If a known key differs only in its unit, the remedy names that key.
    """
    stem, _, unit = unknown_key.rpartition("_")
    if unit in UNIT_NAMES:
        for key in known:
            if key.rpartition("_")[0] == stem:
                unit = UNIT_NAMES.get(key.rpartition("_")[2])
                return f"use {key}" + (f", in {unit}" if unit else "")
    return f"remove it; known keys: {', '.join(known)}"


def exact_type_hook(label: str, *types: type) -> Callable:
    """Returns a structure hook that allows only values of exactly `types`."""

    def hook(value: object, _) -> object:
        # isinstance would allow bool for int, of which it is a subclass.
        if type(value) not in types:
            raise FieldError(
                "",
                f"a {type(value).__name__} is not {label}",
                f"use {label}",
            )
        return value

    return hook


def structure_float(value: object, _) -> float:
    """Returns a number as float; raises FieldError if it is out of range."""
    exact_type_hook("a number", int, float)(value, _)
    if isinstance(value, float) and not math.isfinite(value):
        raise FieldError("", "the number is too large", "use a smaller number")
    if abs(value) > MAX_NUMBER:
        raise FieldError(
            "", "the number is too large", f"use at most {MAX_NUMBER}"
        )
    return float(value)


def structure_int(value: object, _) -> int:
    """Returns an integer; raises FieldError if it is over MAX_INTEGER."""
    exact_type_hook("an integer", int)(value, _)
    if abs(value) > MAX_INTEGER:
        raise FieldError(
            "", "the integer is too large", f"use at most {MAX_INTEGER}"
        )
    return value


def make_converter() -> cattrs.Converter:
    """Returns a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, structure_int)
    converter.register_structure_hook(float, structure_float)
    converter.register_structure_hook(str, exact_type_hook("a string", str))
    converter.register_structure_hook(
        bool, exact_type_hook("true or false", bool)
    )
    converter.register_structure_hook(dict, exact_type_hook("an object", dict))

    def make_object_hook(kind: type) -> Callable:
        structure_object = gen.make_dict_structure_fn(kind, converter)

        def hook(value: object, _) -> object:
            return structure_object(
                exact_type_hook("an object", dict)(value, _), kind
            )

        return hook

    def is_tuple(kind: type) -> bool:
        return typing.get_origin(kind) is tuple

    def make_list_hook(kind: type) -> Callable:
        list_type = list[typing.get_args(kind)[0]]

        def hook(value: object, _) -> tuple:
            exact_type_hook("a list", list)(value, _)
            return tuple(converter.structure(value, list_type))

        return hook

    def is_mapping(kind: type) -> bool:
        return typing.get_origin(kind) is dict

    def make_mapping_hook(kind: type) -> Callable:
        value_type = typing.get_args(kind)[1]

        def hook(value: object, _) -> dict:
            exact_type_hook("an object", dict)(value, _)
            return {
                key: converter.structure(entry, value_type)
                for key, entry in value.items()
            }

        return hook

    converter.register_structure_hook_factory(attrs.has, make_object_hook)
    converter.register_structure_hook_factory(is_tuple, make_list_hook)
    converter.register_structure_hook_factory(is_mapping, make_mapping_hook)
    return converter


CONVERTER = make_converter()
