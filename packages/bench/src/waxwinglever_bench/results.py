"""Measured figures with their bounds, as JSON and as a table."""

import json
import pathlib

import attrs


@attrs.frozen
class Figure:
    """One measured figure.

    Attributes:
      key: Name with the unit at its end.
      value: What was measured.
      bound: The stated bound that it must not exceed, or None.
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
    """Figures of one run of the bench, in order.

    Attributes:
      figures: By key.
      failures: Experiments that did not run to their end, with the reason.
    """

    figures: dict[str, Figure] = attrs.field(factory=dict)
    failures: dict[str, str] = attrs.field(factory=dict)

    def add(self, key: str, value: float, bound: float | None = None) -> None:
        """Adds a figure.

        Raises:
          ValueError: The key was used before.
        """
        if key in self.figures:
            raise ValueError(f"figure {key} was measured twice")
        self.figures[key] = Figure(key, round(value, 3), bound)


def write(results: Results, path: pathlib.Path) -> None:
    """Writes the figures as flat JSON; bounds have keys of their own."""
    flat = {}
    for figure in results.figures.values():
        flat[figure.key] = figure.value
        if figure.bound is not None:
            flat[f"{figure.key}_bound"] = figure.bound
            flat[f"{figure.key}_verdict"] = figure.verdict
    for name, reason in results.failures.items():
        flat[f"{name}_failure"] = reason
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(flat, indent=2) + "\n", encoding="utf-8")


def table(results: Results) -> str:
    """Returns the figures as a table."""
    rows = [("figure", "value", "bound", "verdict")]
    for figure in results.figures.values():
        bound = "" if figure.bound is None else f"{figure.bound:g}"
        rows.append((figure.key, f"{figure.value:g}", bound, figure.verdict))
    widths = [max(len(row[i]) for row in rows) for i in range(4)]
    lines = [
        f"{row[0]:<{widths[0]}}  {row[1]:>{widths[1]}}  {row[2]:>{widths[2]}}"
        f"  {row[3]}".rstrip()
        for row in rows
    ]
    for name, reason in results.failures.items():
        lines.append(f"{name}: did not run to its end: {reason}")
    return "\n".join(lines)
