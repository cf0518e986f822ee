"""Finds all errors of a document, and entries that can't take effect.

Addresses documents with several errors, of which the parser reports the first
one only, and placement rules that don't do what was meant.
"""

import re
import typing
from collections.abc import Iterator

import attrs

from waxwinglever_model import exceptions
from waxwinglever_model import findings
from waxwinglever_records import config
from waxwinglever_records import schemas

# Keys and indexes of a path such as $.zones[0].name.
PART_PATTERN = re.compile(r"\[(\d+)\]|([^.\[\]]+)")


def find_errors(content: object) -> list[findings.Finding]:
    """Returns why a document is refused; empty if it is accepted.

    Args:
      content: Decoded JSON. A document that was never applied may lack a
        generation.
    """
    if isinstance(content, dict):
        content = {"generation": 1, **content}
    try:
        config.parse_document(content)
        return []
    except exceptions.InvalidInput as error:
        first = error
    found = []
    if isinstance(content, dict):
        version = content.get("schema_version")
        kind = schemas.DocumentV1 if version == 1 else config.Config
        if version in config.READABLE_VERSIONS:
            found += object_errors(content, kind, schemas.ROOT)
            found += raw_name_errors(content)
    # The parser finds some errors of version 1 only after its upgrade.
    if first.message not in [error.message for error in found]:
        found.append(first)
    unique = {(error.message, error.remedy): error for error in found}
    return [to_finding(error) for error in unique.values()]


def to_finding(error: exceptions.InvalidInput) -> findings.Finding:
    """Returns the finding for an error whose message begins with its path."""
    path, _, message = error.message.partition(": ")
    location = tuple(
        int(index) if index else key
        for index, key in PART_PATTERN.findall(path)
    )
    return findings.Finding(findings.ERROR, location, message, error.remedy)


def value_errors(
    content: object, kind: typing.Any, path: str
) -> Iterator[exceptions.InvalidInput]:
    """Yields all errors of a value that is converted to a type."""
    if attrs.has(kind) and isinstance(content, dict):
        yield from object_errors(content, kind, path)
    elif typing.get_origin(kind) is tuple and isinstance(content, list):
        for index, item in enumerate(content):
            yield from value_errors(
                item, typing.get_args(kind)[0], f"{path}[{index}]"
            )
    else:
        try:
            schemas.structure(content, kind, path)
        except exceptions.InvalidInput as error:
            yield error


def object_errors(
    content: dict, kind: type, path: str
) -> Iterator[exceptions.InvalidInput]:
    """Yields all errors of an object; each field is checked by itself."""
    fields = attrs.fields_dict(kind)
    for key in content:
        if key not in fields:
            yield exceptions.InvalidInput(
                f"{path}.{key[:64]}: unknown key",
                schemas.key_remedy(key, list(fields)),
            )
    is_valid = True
    for name, field in fields.items():
        field_path = f"{path}.{name}"
        if name not in content:
            if field.default is attrs.NOTHING:
                is_valid = False
                yield exceptions.InvalidInput(
                    f"{field_path}: missing", "add the key"
                )
            continue
        found = list(value_errors(content[name], field.type, field_path))
        if not found and field.validator is not None:
            value = schemas.structure(content[name], field.type, field_path)
            try:
                field.validator(None, field, value)
            except schemas.FieldError as error:
                found = list(field_errors(error, path))
        is_valid = is_valid and not found
        yield from found
    if is_valid:
        known = {key: content[key] for key in content if key in fields}
        try:
            schemas.CONVERTER.structure(known, kind)
        except Exception as error:  # pylint: disable=broad-except
            yield from field_errors(error, path)


def field_errors(
    error: Exception, path: str
) -> Iterator[exceptions.InvalidInput]:
    """Yields an error of an object's fields and the others of the object."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    others = getattr(error, "others", ())
    for each in (error, *others):
        yield schemas.to_invalid_input(each, path)


def raw_name_errors(content: dict) -> Iterator[exceptions.InvalidInput]:
    """Yields the errors of names in a document that may have others too."""
    placement = content.get("placement")
    rules = [
        (name_of(rule, "service"), texts(rule.get("zones")))
        for rule in objects(placement, "rules")
    ]
    for error in config.name_errors(
        [name_of(zone, "name") for zone in objects(content, "zones")],
        [name_of(service, "name") for service in objects(content, "services")],
        rules,
    ):
        yield schemas.to_invalid_input(error, schemas.ROOT)


def objects(content: object, key: str) -> list[dict]:
    """Returns a list of objects; empty if it is anything else."""
    items = content.get(key) if isinstance(content, dict) else None
    is_valid = isinstance(items, list) and all(
        isinstance(item, dict) for item in items
    )
    return items if is_valid else []


def name_of(item: dict, key: str) -> str:
    """Returns a name; a text that differs for each item if it isn't one."""
    name = item.get(key)
    return name if isinstance(name, str) else f"?{id(item)}"


def texts(value: object) -> list[str]:
    """Returns the texts in a list."""
    items = value if isinstance(value, list) else []
    return [item for item in items if isinstance(item, str)]


def find_warnings(checked: config.Config) -> list[findings.Finding]:
    """Returns entries of an accepted configuration that can't take effect."""
    found = []
    if checked.zones and all(
        zone.state == config.ZONE_OUT for zone in checked.zones
    ):
        found.append(
            warning(
                "all zones are out, so that no request is served",
                "set a zone to in",
                "zones",
            )
        )
    for index, rule in enumerate(checked.placement.rules):
        found += rule_findings(checked, index, rule)
    return found


def warning(message: str, remedy: str, *path: str | int) -> findings.Finding:
    """Returns a finding with which a document is accepted."""
    location = schemas.ROOT, *path
    return findings.Finding(findings.WARNING, location, message, remedy)


def rule_findings(
    checked: config.Config, index: int, rule: config.PlacementRule
) -> Iterator[findings.Finding]:
    """Yields what keeps a placement rule from taking effect."""
    path = "placement", "rules", index
    if checked.find_service(rule.service).kind == config.KIND_ANY:
        yield warning(
            f"service {rule.service} is of the kind any, which no rule applies"
            " to",
            "remove the rule",
            *path,
        )
    if not rule.zones:
        yield warning(
            "without zones the rule has no effect",
            "name the zones or remove the rule",
            *path,
        )
    elif all(
        zone.state == config.ZONE_OUT
        for zone in checked.allowed_zones(rule.service)
    ):
        yield warning(
            f"all its zones are out, so that nothing of {rule.service} is"
            " served",
            "add a zone that is in",
            *path,
            "zones",
        )
    for position, zone in enumerate(rule.zones):
        if zone in rule.zones[:position]:
            yield warning(
                f"zone {zone} is listed twice",
                "keep one of the two entries",
                *path,
                "zones",
                position,
            )
