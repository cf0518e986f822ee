"""The configuration of one tenant, and its parsing and validation."""

from collections.abc import Iterator, Sequence

import attrs

from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_records import schemas

READABLE_VERSIONS = (1, 2)
ZONE_IN = "in"
ZONE_OUT = "out"
KIND_KEYED = "keyed"
KIND_ANY = "any"
MAX_SLOTS = 100_000
MAX_COLD_START_S = 3600


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
      name: Name of the zone.
      region: Name of its region.
      state: ZONE_IN, or ZONE_OUT for a zone that receives no new work.
    """

    name: str = attrs.field(validator=schemas.validate_name)
    region: str = attrs.field(validator=schemas.validate_name)
    state: str = attrs.field(
        default=ZONE_IN, validator=schemas.one_of(ZONE_IN, ZONE_OUT)
    )


@attrs.frozen
class RequestClass:
    """A class of requests.

    Attributes:
      name: Name of the class.
      weight: Relative share of the service's capacity under overload.
    """

    name: str = attrs.field(validator=schemas.validate_name)
    weight: float = attrs.field(validator=schemas.positive())


@attrs.frozen
class ColdStart:
    """How the concurrency limit of a backend server rises after its start.

    Attributes:
      initial_slots: Limit right after the start.
      seconds: Time until the limit reaches the service's slots.
    """

    initial_slots: int = attrs.field(validator=schemas.between(1, MAX_SLOTS))
    seconds: float = attrs.field(validator=schemas.between(0, MAX_COLD_START_S))


@attrs.frozen
class Service:
    """A service of the tenant.

    Attributes:
      name: Name of the service.
      kind: KIND_KEYED, or KIND_ANY for a service without keys.
      instances_min: Minimum number of backend servers that can carry its load.
      slots: Maximum number of requests that one backend server runs at a time.
      cold_start: How the load of a newly started backend server rises.
      classes: Classes of requests; at least one.
      timeout_ms: Timeout of a request that specifies none.
      checks_fences: Whether its backend servers check fences.
    """

    name: str = attrs.field(validator=schemas.validate_name)
    kind: str = attrs.field(validator=schemas.one_of(KIND_KEYED, KIND_ANY))
    instances_min: int = attrs.field(validator=schemas.between(1, MAX_SLOTS))
    slots: int = attrs.field(validator=schemas.between(1, MAX_SLOTS))
    cold_start: ColdStart
    classes: tuple[RequestClass, ...]
    timeout_ms: int = attrs.field(
        default=limits.DEFAULT_TIMEOUT_MS,
        validator=schemas.between(1, limits.MAX_TIMEOUT_MS),
    )
    checks_fences: bool = False

    def __attrs_post_init__(self):
        schemas.raise_first(self.find_errors())

    def find_errors(self) -> Iterator[schemas.FieldError]:
        """Yields the errors of fields that don't fit together."""
        if self.cold_start.initial_slots > self.slots:
            yield schemas.FieldError(
                "cold_start.initial_slots",
                f"{self.cold_start.initial_slots} is over the service's slots",
                f"use at most {self.slots}",
            )
        if not self.classes:
            yield schemas.FieldError(
                "classes", "no class is listed", "list at least one class"
            )
        yield from schemas.duplicate_errors(
            "classes", (c.name for c in self.classes)
        )


@attrs.frozen
class PlacementRule:
    """The zones in which a service may be placed.

    Attributes:
      service: Name of the service.
      zones: Names of the allowed zones; empty for all zones.
    """

    service: str
    zones: tuple[str, ...] = ()


@attrs.frozen
class Placement:
    """Settings for the placement of slices.

    Attributes:
      move_cost: Cost of one move, relative to the cost of imbalance.
      max_moves: Maximum number of moves in one planning round.
      rules: At most one for each service; a service without a rule may be
        placed in all zones.
    """

    move_cost: float = attrs.field(
        validator=schemas.between(0, schemas.MAX_NUMBER)
    )
    max_moves: int = attrs.field(
        validator=schemas.between(1, limits.MAX_SLICES)
    )
    rules: tuple[PlacementRule, ...] = ()


@attrs.frozen
class Config:
    """The configuration of one tenant.

    Attributes:
      schema_version: Version of the document that it was read from.
      generation: Number of the configuration; each write increases it.
      tenant: Name of the tenant.
      zones: Availability zones of the tenant.
      services: Services of the tenant.
      placement: Settings for the placement of slices.
      retired: Names of nodes that are permanently lost.
    """

    schema_version: int = attrs.field(
        validator=schemas.between(
            min(READABLE_VERSIONS), max(READABLE_VERSIONS)
        )
    )
    generation: int = attrs.field(
        validator=schemas.between(1, schemas.MAX_INTEGER)
    )
    tenant: str = attrs.field(validator=schemas.validate_name)
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    placement: Placement
    retired: tuple[str, ...] = attrs.field(
        default=(), validator=schemas.validate_names
    )

    def __attrs_post_init__(self):
        schemas.raise_first(
            name_errors(
                [zone.name for zone in self.zones],
                [service.name for service in self.services],
                [(rule.service, rule.zones) for rule in self.placement.rules],
            )
        )

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def allowed_zones(self, service: str) -> tuple[Zone, ...]:
        """Returns the zones in which a service may be placed."""
        for rule in self.placement.rules:
            if rule.service == service and rule.zones:
                return tuple(z for z in self.zones if z.name in rule.zones)
        return self.zones


def name_errors(
    zones: Sequence[str],
    services: Sequence[str],
    rules: Sequence[tuple[str, Sequence[str]]],
) -> Iterator[schemas.FieldError]:
    """Yields the errors of names that are repeated or not defined.

    Args:
      zones: Names of the zones.
      services: Names of the services.
      rules: Service and zones of each placement rule.
    """
    yield from schemas.duplicate_errors("zones", zones)
    yield from schemas.duplicate_errors("services", services)
    yield from schemas.duplicate_errors(
        "placement.rules", (service for service, _ in rules)
    )
    for index, (service, rule_zones) in enumerate(rules):
        path = f"placement.rules[{index}]"
        yield from unknown_name_errors(
            f"{path}.service", "service", service, services
        )
        for position, zone in enumerate(rule_zones):
            yield from unknown_name_errors(
                f"{path}.zones[{position}]", "zone", zone, zones
            )


def unknown_name_errors(
    field: str, label: str, name: str, known: Sequence[str]
) -> Iterator[schemas.FieldError]:
    """Yields an error if `name` is not in `known`."""
    if name not in known:
        yield schemas.FieldError(
            field,
            f"{label} {name[:64]!r} does not exist",
            f"use one of: {', '.join(known) or '(none is defined)'}",
        )


def config_key(tenant: str) -> str:
    """Returns the key of a tenant's configuration in the store."""
    return f"config/{tenant}"


def parse_document(content: object, path: str = schemas.ROOT) -> Config:
    """Returns the configuration in one document.

    Args:
      content: Decoded JSON.
      path: Path of the document, for error messages.

    Raises:
      InvalidInput: The document is invalid; the error names the path and the
        remedy.
    """
    if not isinstance(content, dict):
        raise exceptions.InvalidInput(
            f"{path}: the document is not an object", "use a JSON object"
        )
    version = content.get("schema_version")
    # The check for bool is needed because True == 1.
    if isinstance(version, bool) or version not in READABLE_VERSIONS:
        raise unknown_version_error(
            f"{path}.schema_version", str(version), READABLE_VERSIONS
        )
    if version == 1:
        document = schemas.structure(content, schemas.DocumentV1, path)
        content = schemas.upgrade_v1(document)
    return schemas.structure(content, Config, path)


def unknown_version_error(
    path: str, found: str, readable_versions: tuple[int, ...]
) -> exceptions.InvalidInput:
    """Returns the exception for schema versions that can't be read."""
    known = ", ".join(str(version) for version in readable_versions)
    return exceptions.InvalidInput(
        f"{path}: unknown schema version {found[:64]}",
        f"use one of: {known}; or install a newer release",
    )


def parse_value(
    text: str, readable_versions: tuple[int, ...] = READABLE_VERSIONS
) -> Config:
    """Returns the configuration in a stored value.

    Args:
      text: The value as JSON.
      readable_versions: Schema versions that this reader supports. The newest
        of them in the value is used; documents of other versions are ignored.

    Raises:
      InvalidInput: The value is invalid; the error names the path and the
        remedy.
    """
    value = schemas.structure(schemas.load_json(text), schemas.StoredConfig)
    return parse_structured(value, readable_versions)


def parse_structured(
    value: schemas.StoredConfig, readable_versions: tuple[int, ...]
) -> Config:
    """Returns the configuration in a structured value; see parse_value."""
    known = [v for v in readable_versions if str(v) in value.documents]
    if not known:
        found = ", ".join(sorted(value.documents)) or "(none)"
        raise unknown_version_error(
            f"{schemas.ROOT}.documents", found, readable_versions
        )
    version = max(known)
    path = f"{schemas.ROOT}.documents.{version}"
    parsed = parse_document(value.documents[str(version)], path)
    for field, found, expected in (
        ("schema_version", parsed.schema_version, version),
        ("generation", parsed.generation, value.generation),
    ):
        if found != expected:
            raise exceptions.InvalidInput(
                f"{path}.{field}: {found} differs from the value's {expected}",
                f"use {expected}",
            )
    return parsed


def parse_if_newer(
    current: Config | None,
    text: str,
    readable_versions: tuple[int, ...] = READABLE_VERSIONS,
) -> Config | None:
    """Returns the configuration in `text` if it is newer than `current`.

    Returns:
      The configuration, or None if its generation is not higher than that of
      `current`.

    Raises:
      InvalidInput: The value is invalid or belongs to another tenant.
    """
    value = schemas.structure(schemas.load_json(text), schemas.StoredConfig)
    if current is not None and value.generation <= current.generation:
        return None
    parsed = parse_structured(value, readable_versions)
    if current is not None and parsed.tenant != current.tenant:
        raise exceptions.InvalidInput(
            f"{schemas.ROOT}: tenant {parsed.tenant!r} differs from"
            f" {current.tenant!r}",
            "apply the configuration under its own tenant",
        )
    return parsed
