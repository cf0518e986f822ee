"""The configuration of one tenant, and how it is read from the store."""

import attrs

from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_records import schemas

READABLE = (1, 2)
ZONE_IN = "in"
ZONE_OUT = "out"
KEYED = "keyed"
ANY = "any"
MAX_SLOTS = 100_000
MAX_COLD_START_S = 3600


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
      name: Name of the zone.
      region: Name of its region.
      state: ZONE_IN, or ZONE_OUT for a zone that takes no new work.
    """

    name: str = attrs.field(validator=schemas.name)
    region: str = attrs.field(validator=schemas.name)
    state: str = attrs.field(
        default=ZONE_IN, validator=schemas.one_of(ZONE_IN, ZONE_OUT)
    )


@attrs.frozen
class RequestClass:
    """A class of requests and its share of an overloaded service."""

    name: str = attrs.field(validator=schemas.name)
    weight: float = attrs.field(validator=schemas.positive())


@attrs.frozen
class ColdStart:
    """How the limit of a cold backend server rises.

    Attributes:
      initial_slots: Slots right after the start.
      seconds: Time until all slots are in use.
    """

    initial_slots: int = attrs.field(validator=schemas.between(1, MAX_SLOTS))
    seconds: float = attrs.field(validator=schemas.between(0, MAX_COLD_START_S))


@attrs.frozen
class Service:
    """A service of the tenant.

    Attributes:
      name: Name of the service.
      kind: KEYED, or ANY for a service without keys.
      instances_min: The fewest backend servers that carry its load.
      slots: Requests that one backend server runs at a time.
      cold_start: How a cold backend server is loaded.
      classes: Classes of requests.
      timeout_ms: Timeout of a request that names none.
      checks_fences: Whether its backend servers check fences.
    """

    name: str = attrs.field(validator=schemas.name)
    kind: str = attrs.field(validator=schemas.one_of(KEYED, ANY))
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
        if self.cold_start.initial_slots > self.slots:
            raise schemas.FieldError(
                "cold_start.initial_slots",
                f"{self.cold_start.initial_slots} is over slots",
                f"use at most {self.slots}",
            )
        if not self.classes:
            raise schemas.FieldError(
                "classes", "no class is listed", "list at least one class"
            )
        schemas.refuse_duplicates("classes", (c.name for c in self.classes))


@attrs.frozen
class PlacementRule:
    """Where a service may be placed.

    Attributes:
      service: Name of the service.
      zones: Names of the zones; empty for all.
    """

    service: str
    zones: tuple[str, ...] = ()


@attrs.frozen
class Placement:
    """How slices are placed.

    Attributes:
      move_cost: Weight of one move against imbalance.
      max_moves: Moves of one round.
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
      generation: Number of the configuration.
      tenant: Name of the tenant.
      zones: Its zones.
      services: Its services.
      placement: How slices are placed.
      retired: Names of the nodes that are lost for good.
    """

    schema_version: int = attrs.field(
        validator=schemas.between(min(READABLE), max(READABLE))
    )
    generation: int = attrs.field(
        validator=schemas.between(1, schemas.MAX_INTEGER)
    )
    tenant: str = attrs.field(validator=schemas.name)
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    placement: Placement
    retired: tuple[str, ...] = attrs.field(default=(), validator=schemas.names)

    def __attrs_post_init__(self):
        zones = [zone.name for zone in self.zones]
        services = [service.name for service in self.services]
        rules = [rule.service for rule in self.placement.rules]
        schemas.refuse_duplicates("zones", zones)
        schemas.refuse_duplicates("services", services)
        schemas.refuse_duplicates("placement.rules", rules)
        for index, rule in enumerate(self.placement.rules):
            path = f"placement.rules[{index}]"
            refuse_unknown(f"{path}.service", "service", rule.service, services)
            for position, zone in enumerate(rule.zones):
                place = f"{path}.zones[{position}]"
                refuse_unknown(place, "zone", zone, zones)

    def service(self, name: str) -> Service | None:
        """Returns the service of that name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def zones_of(self, service: str) -> tuple[Zone, ...]:
        """Returns the zones in which a service may be placed."""
        for rule in self.placement.rules:
            if rule.service == service and rule.zones:
                return tuple(z for z in self.zones if z.name in rule.zones)
        return self.zones


def refuse_unknown(field: str, label: str, name: str, known: list[str]) -> None:
    """Raises FieldError when `name` is not in `known`."""
    if name not in known:
        raise schemas.FieldError(
            field,
            f"{label} {name[:64]!r} does not exist",
            f"use one of: {', '.join(known) or 'none is defined'}",
        )


def store_key(tenant: str) -> str:
    """Returns the key of a tenant's configuration in the store."""
    return f"config/{tenant}"


def parse_document(content: object, path: str = schemas.ROOT) -> Config:
    """Returns the configuration of one document.

    Args:
      content: Decoded JSON.
      path: Path of the document, for messages.

    Raises:
      InvalidInput: The document is invalid; names the path and the remedy.
    """
    if not isinstance(content, dict):
        raise exceptions.InvalidInput(
            f"{path}: a document is an object", "use a JSON object"
        )
    version = content.get("schema_version")
    # True equals 1 but is not a version.
    if isinstance(version, bool) or version not in READABLE:
        raise unknown_version(f"{path}.schema_version", str(version), READABLE)
    if version == 1:
        document = schemas.structure(content, schemas.DocumentV1, path)
        content = schemas.upgrade_v1(document)
    return schemas.structure(content, Config, path)


def unknown_version(
    path: str, found: str, readable: tuple[int, ...]
) -> exceptions.InvalidInput:
    """Returns the error for schema versions that can't be read."""
    known = ", ".join(str(version) for version in readable)
    return exceptions.InvalidInput(
        f"{path}: unknown schema version {found[:64]}",
        f"use one of: {known}; or install a newer release",
    )


def parse_value(text: str, readable: tuple[int, ...] = READABLE) -> Config:
    """Returns the configuration in a value of the store.

    Args:
      text: The value.
      readable: Schema versions that this reader knows; the newest that the
        value has is used, and others are skipped.

    Raises:
      InvalidInput: The value is invalid; names the path and the remedy.
    """
    value = schemas.structure(schemas.load_json(text), schemas.Value)
    return read_value(value, readable)


def read_value(value: schemas.Value, readable: tuple[int, ...]) -> Config:
    """Returns the configuration in a structured value; see parse_value."""
    known = [v for v in readable if str(v) in value.documents]
    if not known:
        found = ", ".join(sorted(value.documents)) or "(none)"
        raise unknown_version(f"{schemas.ROOT}.documents", found, readable)
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


def newer(
    current: Config | None, text: str, readable: tuple[int, ...] = READABLE
) -> Config | None:
    """Returns the configuration in `text` if it replaces `current`.

    Returns:
      None when the generation is not higher than the current one.

    Raises:
      InvalidInput: The value is invalid or of another tenant.
    """
    value = schemas.structure(schemas.load_json(text), schemas.Value)
    if current is not None and value.generation <= current.generation:
        return None
    parsed = read_value(value, readable)
    if current is not None and parsed.tenant != current.tenant:
        raise exceptions.InvalidInput(
            f"{schemas.ROOT}: tenant {parsed.tenant!r} differs from"
            f" {current.tenant!r}",
            "apply the record under its own tenant",
        )
    return parsed
