"""Metrics in the Prometheus text format."""

import threading

import attrs
from aioprometheus import collectors
from aioprometheus.formats import text

OTHER_LABEL = "other"
OUTCOMES = ("ran", "not-run", "unknown", "refused")
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    # The target for the 99th percentile is 14 ms.
    0.014,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    float("inf"),
)
# Each label set of the histogram takes about 17 lines of output. A node serves
# one service and needs far fewer sets; the bound only limits the damage that
# callers with wrong label values can do.
MAX_LABEL_SETS = 256
LATENCY = "waxwinglever_request_seconds"
PREFIX = "waxwinglever_"


@attrs.define(eq=False)
class Metrics:
    """The metrics of one process; the public methods are thread-safe.

    Attributes:
      classes: Known request classes by tenant and service.
      registry: The collectors by name.
      lock: Guards the collectors, which are not thread-safe.
      latency: Histogram of the response times of requests.
    """

    classes: dict[tuple[str, str], frozenset[str]] = attrs.field(factory=dict)
    registry: collectors.Registry = attrs.field(factory=collectors.Registry)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    latency: collectors.Histogram = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.latency = collectors.Histogram(
            LATENCY,
            "Time from the arrival of a request to its response.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def set_classes(
        self, tenant: str, service: str, classes: tuple[str, ...]
    ) -> None:
        """Sets the known classes of a service; others get OTHER_LABEL."""
        with self.lock:
            self.classes[tenant, service] = frozenset(classes)

    def observe_request(
        self,
        tenant: str,
        service: str,
        request_class: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Adds one request to the latency histogram.

        Unknown tenants, services, classes and outcomes are labelled
        OTHER_LABEL.
        """
        with self.lock:
            known = self.classes.get((tenant, service))
            if known is None:
                tenant = service = request_class = OTHER_LABEL
            elif request_class not in known:
                request_class = OTHER_LABEL
            labels = {
                "tenant": tenant,
                "service": service,
                "class": request_class,
                "outcome": outcome if outcome in OUTCOMES else OTHER_LABEL,
            }
            self.latency.observe(
                bounded_labels(self.latency, labels), float(seconds)
            )

    def set_gauge(
        self, name: str, value: float, labels: dict[str, str] | None = None
    ) -> None:
        """Sets a gauge, which is created on first use.

        Args:
          name: Name without PREFIX; ends with the unit, if it has one.
          value: The new value.
          labels: Label values by name.
        """
        with self.lock:
            gauge = self.get_or_create(collectors.Gauge, name)
            gauge.set(bounded_labels(gauge, labels or {}), value)

    def count(self, name: str, labels: dict[str, str] | None = None) -> None:
        """Adds one to a counter, which is created on first use."""
        with self.lock:
            counter = self.get_or_create(collectors.Counter, name)
            counter.inc(bounded_labels(counter, labels or {}))

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        with self.lock:
            return text.TextFormatter().marshall(self.registry)

    def get_or_create(
        self, kind: type[collectors.Collector], name: str
    ) -> collectors.Collector:
        """Returns the collector of that name, which is created on first use.

        The caller must hold the lock.

        Raises:
          TypeError: The name belongs to a collector of another kind.
        """
        name = PREFIX + name
        if name not in self.registry.collectors:
            title = name.removeprefix(PREFIX).replace("_", " ").capitalize()
            kind(name, f"{title}.", registry=self.registry)
        found = self.registry.get(name)
        if not isinstance(found, kind):
            raise TypeError(f"metric {name} is already a {found.kind.name}")
        return found


def bounded_labels(
    collector: collectors.Collector, labels: dict[str, str]
) -> dict[str, str]:
    """Returns the escaped labels, or OTHER_LABEL for all at MAX_LABEL_SETS.

    Label sets that the collector already has are returned as they are.
    """
    # The formatter of aioprometheus does not escape label values.
    escaped = {
        key: escape_label_value(str(value)) for key, value in labels.items()
    }
    if escaped in collector.values or len(collector.values) < MAX_LABEL_SETS:
        return escaped
    return {key: OTHER_LABEL for key in escaped}


def escape_label_value(value: str) -> str:
    """Returns a label value escaped for the Prometheus text format."""
    value = value.encode("utf-8", "replace").decode("utf-8")
    value = value.replace("\\", "\\\\").replace('"', '\\"')
    return value.replace("\n", "\\n")
