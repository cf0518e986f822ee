"""Checks that imports follow the layers and name modules only."""

import ast
import pathlib
import sys

# A package may import packages that are listed before it, in its own layer or
# in the layers above.
LAYERS = (
    ("model", "framing"),
    ("records", "telemetry"),
    ("store", "peers", "backend"),
    ("placement", "admission", "routing", "assignment"),
    ("relay",),
    ("hops",),
    ("ownership",),
    ("front",),
    ("daemon", "cli", "platform"),
    ("standins", "bench", "soak"),
)
ORDER = tuple(name for layer in LAYERS for name in layer)
# Packages that the tests of any package may import: contract tests run the real
# client against a stand-in server. Other code may not, because the last layer
# contains only test tools.
TEST_IMPORTS = ("standins", "soak")
PREFIX = "waxwinglever_"


def imported_packages(tree: ast.AST) -> list[tuple[int, str]]:
    """Returns the line and package of each import of a workspace package."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
        else:
            continue
        for name in names:
            if name.startswith(PREFIX):
                package = name.split(".")[0].removeprefix(PREFIX)
                found.append((node.lineno, package))
    return found


def name_imports(tree: ast.AST, roots: list[pathlib.Path]) -> list[int]:
    """Returns the lines that import a name from a workspace module."""
    lines = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        if not node.module.startswith(PREFIX):
            continue
        folder = pathlib.Path(*node.module.split("."))
        for alias in node.names:
            if not any(
                (root / folder / f"{alias.name}.py").exists() for root in roots
            ):
                lines.append(node.lineno)
    return lines


def check_source(
    package: str,
    path: pathlib.Path,
    roots: list[pathlib.Path],
    is_test: bool,
) -> list[str]:
    """Returns a message for each forbidden import of one file."""
    findings = []
    tree = ast.parse(path.read_text(encoding="utf-8"), str(path))
    for line, other in imported_packages(tree):
        if other == package or (is_test and other in TEST_IMPORTS):
            continue
        if other not in ORDER:
            findings.append(
                f"{path}:{line}: package {other!r} is unknown; add it to LAYERS"
            )
        elif ORDER.index(other) > ORDER.index(package):
            findings.append(
                f"{path}:{line}: package {package!r} must not import {other!r}"
            )
    for line in name_imports(tree, roots):
        findings.append(f"{path}:{line}: import the module, not the name")
    return findings


def main() -> int:
    top = pathlib.Path(__file__).resolve().parent.parent
    soak = top / "platform" / "soak"
    folders = sorted(top.glob("packages/*")) + [top / "platform", soak]
    roots = [folder / "src" for folder in folders]
    findings = []
    for folder in folders:
        for path in sorted(folder.rglob("*.py")):
            if folder != soak and soak in path.parents:
                continue
            is_test = "tests" in path.relative_to(folder).parts
            findings += check_source(folder.name, path, roots, is_test)
    print("\n".join(findings) or "imports: in order")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
