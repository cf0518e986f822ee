"""Metrics in the Prometheus text format."""

import threading

import attrs
from aioprometheus import collectors
from aioprometheus.formats import text

OTHER = "other"
OUTCOMES = ("ran", "not-run", "unknown", "refused")
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    # The target for 99 in 100 requests is 14 ms.
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
# A label set of the histogram takes about 17 lines of output, and a node
# serves one service, so this leaves room for mistakes of callers only.
MAX_LABEL_SETS = 256
LATENCY = "waxwinglever_request_seconds"
PREFIX = "waxwinglever_"


@attrs.define(eq=False)
class Metrics:
    """The metrics of one process; all methods may be called by any thread.

    Attributes:
      classes: Known request classes by tenant and service.
      registry: The collectors by name.
      lock: Guards the collectors, which are not thread-safe.
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
        """Names the classes of a service; all others count as OTHER."""
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
        """Counts one request and its latency."""
        with self.lock:
            known = self.classes.get((tenant, service))
            if known is None:
                tenant = service = request_class = OTHER
            elif request_class not in known:
                request_class = OTHER
            labels = {
                "tenant": tenant,
                "service": service,
                "class": request_class,
                "outcome": outcome if outcome in OUTCOMES else OTHER,
            }
            self.latency.observe(bounded(self.latency, labels), float(seconds))

    def set_gauge(
        self, name: str, value: float, labels: dict[str, str] | None = None
    ) -> None:
        """Sets a gauge, which is made when its name is new.

        Args:
          name: Without the common prefix; ends with its unit.
          value: The new value.
          labels: Label values by name.
        """
        with self.lock:
            gauge = self.collector(collectors.Gauge, name)
            gauge.set(bounded(gauge, labels or {}), value)

    def count(self, name: str, labels: dict[str, str] | None = None) -> None:
        """Adds one to a counter, which is made when its name is new."""
        with self.lock:
            counter = self.collector(collectors.Counter, name)
            counter.inc(bounded(counter, labels or {}))

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        with self.lock:
            return text.TextFormatter().marshall(self.registry)

    def collector(
        self, kind: type[collectors.Collector], name: str
    ) -> collectors.Collector:
        """Returns the collector of that name; the caller holds the lock."""
        name = PREFIX + name
        if name not in self.registry.collectors:
            title = name.removeprefix(PREFIX).replace("_", " ").capitalize()
            kind(name, f"{title}.", registry=self.registry)
        found = self.registry.get(name)
        if not isinstance(found, kind):
            raise TypeError(f"{name} is a {found.kind.name}")
        return found


def bounded(
    collector: collectors.Collector, labels: dict[str, str]
) -> dict[str, str]:
    """Returns the labels, or OTHER for all of them over MAX_LABEL_SETS."""
    # The formatter of aioprometheus does not escape label values.
    clean = {key: escaped(str(value)) for key, value in labels.items()}
    if clean in collector.values or len(collector.values) < MAX_LABEL_SETS:
        return clean
    return {key: OTHER for key in clean}


def escaped(value: str) -> str:
    """Returns a label value as the text format has it."""
    value = value.encode("utf-8", "replace").decode("utf-8")
    value = value.replace("\\", "\\\\").replace('"', '\\"')
    return value.replace("\n", "\\n")
