"""Structures JSON strictly, and defines the formats of stored values."""

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
UNITS = {"ms": "milliseconds", "s": "seconds", "seconds": "seconds"}
# Readers in other languages keep integers as doubles.
MAX_INTEGER = 2**53 - 1
MAX_NUMBER = 1e9


class FieldError(exceptions.InvalidInput):
    """A value that its attribute does not allow.

    Attributes:
      field: Path of the value below the object that was refused.
    """

    def __init__(self, field: str, message: str, remedy: str):
        super().__init__(message, remedy)
        self.field = field


def name(_, attribute: attrs.Attribute, text: str) -> None:
    """Validates the name of a tenant, zone, service, class or node."""
    if not identifiers.is_name(text):
        raise FieldError(
            attribute.name,
            f"{text[:64]!r} is not a name",
            NAME_REMEDY,
        )


def names(_, attribute: attrs.Attribute, texts: tuple[str, ...]) -> None:
    """Validates a list of different names."""
    for index, text in enumerate(texts):
        if not identifiers.is_name(text):
            raise FieldError(
                f"{attribute.name}[{index}]",
                f"{text[:64]!r} is not a name",
                NAME_REMEDY,
            )
    refuse_duplicates(attribute.name, texts)


def one_of(*choices: str) -> Callable:
    """Returns a validator that allows only `choices`."""

    def check(_, attribute: attrs.Attribute, text: str) -> None:
        if text not in choices:
            raise FieldError(
                attribute.name,
                f"{text[:64]!r} is not a known {attribute.name}",
                f"use one of: {', '.join(choices)}",
            )

    return check


def between(low: float, high: float) -> Callable:
    """Returns a validator that allows numbers of [low, high]."""

    def check(_, attribute: attrs.Attribute, number: float) -> None:
        if not low <= number <= high:
            raise FieldError(
                attribute.name,
                f"{number} is out of range",
                f"use a number from {low} to {high}",
            )

    return check


def positive(high: float = MAX_NUMBER) -> Callable:
    """Returns a validator that allows numbers of (0, high]."""

    def check(_, attribute: attrs.Attribute, number: float) -> None:
        if not 0 < number <= high:
            raise FieldError(
                attribute.name,
                f"{number} is out of range",
                f"use a number above 0 and up to {high}",
            )

    return check


def refuse_duplicates(field: str, items: typing.Iterable[str]) -> None:
    """Raises FieldError when a name occurs twice in the list `field`."""
    seen = set()
    for index, item in enumerate(items):
        if item in seen:
            raise FieldError(
                f"{field}[{index}]",
                f"{item!r} is listed twice",
                "keep one of the two entries",
            )
        seen.add(item)


@attrs.frozen
class HistoryEntry:
    """Who wrote one generation, and why.

    Attributes:
      generation: The generation that the write made.
      time: UTC, ISO 8601, from the writer's clock.
      author: Who wrote it.
      message: Why.
      nonce: Random id of the write; resolves a lost answer.
    """

    generation: int
    time: str
    author: str
    message: str
    nonce: str


@attrs.frozen
class Value:
    """The store's value for one tenant.

    Attributes:
      generation: Number of the configuration that all documents describe.
      documents: By schema version in decimal.
      history: The newest entries, oldest first.
    """

    generation: int = attrs.field(validator=between(1, MAX_INTEGER))
    documents: dict[str, dict]
    history: tuple[HistoryEntry, ...] = ()


@attrs.frozen
class ZoneV1:
    """A zone as in schema version 1."""

    name: str
    region: str
    state: str


@attrs.frozen
class ServiceV1:
    """A service as in schema version 1: flat times, classes without weights."""

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
        # After the upgrade the error would name a key of version 2.
        if self.cold_start_slots > self.slots:
            raise FieldError(
                "cold_start_slots",
                f"{self.cold_start_slots} is over slots",
                f"use at most {self.slots}",
            )


@attrs.frozen
class PlacementRuleV1:
    """A placement rule as in schema version 1."""

    service: str
    zones: tuple[str, ...] = ()


@attrs.frozen
class PlacementV1:
    """Placement as in schema version 1."""

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
    """Returns the same configuration as a document of version 2."""
    upgraded = attrs.asdict(document, value_serializer=as_list)
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


def as_list(_, __, value: object) -> object:
    """Returns tuples as lists, as JSON has them."""
    return list(value) if isinstance(value, tuple) else value


def load_json(text: str) -> object:
    """Returns the content of a JSON text.

    Raises:
      InvalidInput: The text is over MAX_RECORD_BYTES or is not JSON.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > limits.MAX_RECORD_BYTES:
        raise exceptions.InvalidInput(
            f"{ROOT}: {size} bytes are over the limit",
            f"keep a record under {limits.MAX_RECORD_BYTES} bytes",
        )
    try:
        return json.loads(
            text, object_pairs_hook=unique_keys, parse_constant=refuse_constant
        )
    except (ValueError, RecursionError) as error:
        raise exceptions.InvalidInput(
            f"{ROOT}: not JSON: {error}", "correct the syntax"
        ) from error


def unique_keys(pairs: list[tuple[str, object]]) -> dict:
    """Returns the object of `pairs`; a repeated key would hide a value."""
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("an object has the same key twice")
    return found


def refuse_constant(text: str) -> None:
    """Refuses NaN and infinities, which JSON does not have."""
    raise ValueError(f"{text} is not a number of JSON")


def structure(content: object, kind: type, path: str = ROOT) -> typing.Any:
    """Returns `content` as an instance of the attrs class `kind`.

    Args:
      content: Decoded JSON.
      kind: The attrs class.
      path: Path of the content, for messages.

    Raises:
      InvalidInput: The content does not fit; names the path and the remedy.
    """
    try:
        return CONVERTER.structure(content, kind)
    except (cattrs.BaseValidationError, exceptions.InvalidInput) as error:
        raise described(error, path) from error


def described(error: Exception, path: str) -> exceptions.InvalidInput:
    """Returns the first cause of a failed structuring, with its path."""
    while isinstance(error, cattrs.BaseValidationError):
        noted, plain = error.group_exceptions()
        if noted and not plain:
            error, note = noted[0]
            if isinstance(note, cattrs.AttributeValidationNote):
                path = f"{path}.{note.name}"
            else:
                path = f"{path}[{note.index}]"
        else:
            error = plain[0]
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        extra = sorted(error.extra_fields)[0]
        known = [item.name for item in attrs.fields(error.cl)]
        return exceptions.InvalidInput(
            f"{path}.{extra[:64]}: unknown key", key_remedy(extra, known)
        )
    if isinstance(error, KeyError):
        return exceptions.InvalidInput(f"{path}: missing", "add the key")
    if isinstance(error, FieldError):
        field = f".{error.field}" if error.field else ""
        return exceptions.InvalidInput(
            f"{path}{field}: {error.message}", error.remedy
        )
    return exceptions.InvalidInput(f"{path}: {error}", "correct the value")


def key_remedy(extra: str, known: list[str]) -> str:
    """Returns what to do about an unknown key, which may be a wrong unit."""
    stem, _, unit = extra.rpartition("_")
    if unit in UNITS:
        for item in known:
            if item.rpartition("_")[0] == stem:
                unit = UNITS.get(item.rpartition("_")[2])
                return f"use {item}" + (f", in {unit}" if unit else "")
    return f"remove it; known keys: {', '.join(known)}"


def exactly(label: str, *types: type) -> Callable:
    """Returns a hook that allows only values of `types`, without conversion."""

    def hook(value: object, _) -> object:
        # bool is a subclass of int, so isinstance would let it pass.
        if type(value) not in types:
            raise FieldError(
                "",
                f"a {type(value).__name__} is not {label}",
                f"use {label}",
            )
        return value

    return hook


def structure_float(value: object, _) -> float:
    """Returns a finite number as float."""
    exactly("a number", int, float)(value, _)
    if isinstance(value, float) and not math.isfinite(value):
        raise FieldError("", "the number is too large", "use a smaller number")
    if abs(value) > MAX_NUMBER:
        raise FieldError(
            "", "the number is too large", f"use at most {MAX_NUMBER}"
        )
    return float(value)


def structure_int(value: object, _) -> int:
    """Returns an integer that all readers can hold."""
    exactly("an integer", int)(value, _)
    if abs(value) > MAX_INTEGER:
        raise FieldError(
            "", "the integer is too large", f"use at most {MAX_INTEGER}"
        )
    return value


def make_converter() -> cattrs.Converter:
    """Returns a converter that forbids unknown keys and converts no types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, structure_int)
    converter.register_structure_hook(float, structure_float)
    converter.register_structure_hook(str, exactly("a string", str))
    converter.register_structure_hook(bool, exactly("true or false", bool))
    converter.register_structure_hook(dict, exactly("an object", dict))

    def object_hook(kind: type) -> Callable:
        inner = gen.make_dict_structure_fn(kind, converter)

        def hook(value: object, _) -> object:
            return inner(exactly("an object", dict)(value, _), kind)

        return hook

    def is_tuple(kind: type) -> bool:
        return typing.get_origin(kind) is tuple

    def list_hook(kind: type) -> Callable:
        listed = list[typing.get_args(kind)[0]]

        def hook(value: object, _) -> tuple:
            exactly("a list", list)(value, _)
            return tuple(converter.structure(value, listed))

        return hook

    def is_mapping(kind: type) -> bool:
        return typing.get_origin(kind) is dict

    def mapping_hook(kind: type) -> Callable:
        item = typing.get_args(kind)[1]

        def hook(value: object, _) -> dict:
            exactly("an object", dict)(value, _)
            return {
                key: converter.structure(entry, item)
                for key, entry in value.items()
            }

        return hook

    converter.register_structure_hook_factory(attrs.has, object_hook)
    converter.register_structure_hook_factory(is_tuple, list_hook)
    converter.register_structure_hook_factory(is_mapping, mapping_hook)
    return converter


CONVERTER = make_converter()
