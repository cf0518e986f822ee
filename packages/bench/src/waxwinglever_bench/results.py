"""Measurements with their bounds, as JSON and as a table."""

import json
import pathlib

import attrs


@attrs.frozen
class Measurement:
    """One measured value.

    Attributes:
      key: Name, with the unit as its suffix.
      value: The value.
      bound: The largest value allowed, or None.
    """

    key: str
    value: float
    bound: float | None = None

    @property
    def verdict(self) -> str:
        """`met`, `MISSED`, or '' without a bound."""
        if self.bound is None:
            return ""
        return "met" if self.value <= self.bound else "MISSED"


@attrs.define(eq=False)
class Results:
    """Results of one run of the command `bench`.

    Attributes:
      measurements: Measurements by key, in the order in which they were added.
      failed_experiments: Why experiments didn't run to their end, by
        experiment.
    """

    measurements: dict[str, Measurement] = attrs.field(factory=dict)
    failed_experiments: dict[str, str] = attrs.field(factory=dict)

    def add(self, key: str, value: float, bound: float | None = None) -> None:
        """Adds a measurement, rounded to three decimals.

        Raises:
          ValueError: The key was added before.
        """
        if key in self.measurements:
            raise ValueError(f"measurement {key} was added twice")
        self.measurements[key] = Measurement(key, round(value, 3), bound)


def write(results: Results, path: pathlib.Path) -> None:
    """Writes the results as one flat JSON object.

    A bound and its verdict have the measurement's key with the suffix `_bound`
    and `_verdict`; the reason of a failure has the suffix `_failure`.
    """
    values = {}
    for measurement in results.measurements.values():
        values[measurement.key] = measurement.value
        if measurement.bound is not None:
            values[f"{measurement.key}_bound"] = measurement.bound
            values[f"{measurement.key}_verdict"] = measurement.verdict
    for name, reason in results.failed_experiments.items():
        values[f"{name}_failure"] = reason
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(values, indent=2) + "\n", encoding="utf-8")


def table(results: Results) -> str:
    """Returns the results as a table, followed by the failures."""
    rows = [("figure", "value", "bound", "verdict")]
    for measurement in results.measurements.values():
        bound = "" if measurement.bound is None else f"{measurement.bound:g}"
        rows.append(
            (
                measurement.key,
                f"{measurement.value:g}",
                bound,
                measurement.verdict,
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(4)]
    lines = [
        f"{row[0]:<{widths[0]}}  {row[1]:>{widths[1]}}  {row[2]:>{widths[2]}}"
        f"  {row[3]}".rstrip()
        for row in rows
    ]
    for name, reason in results.failed_experiments.items():
        lines.append(f"{name}: did not run to its end: {reason}")
    return "\n".join(lines)
