"""Faults that are put into the daemons' sources on purpose; a soak must find them."""

import shutil
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = ("packages/core/src", "packages/daemon/src", "platform")
CORE = "packages/core/src/knapweedbridge_core/serving/"
DAEMON = "packages/daemon/src/knapweedbridge_daemon/serving/"

PLANTS = {
    "repeats orders": (
        CORE + "attempts.py",
        "    if not route.repeatable:\n        return False\n",
        "",
    ),
    "counts no places": (
        CORE + "engine_controller.py",
        "if len(self.places) < self.limits.adapter_places:",
        "if True:",
    ),
    "says not run": (
        CORE + "attempts.py",
        "return bool(self.runs)",
        "return False",
    ),
    "trusts unsigned answers": (
        DAEMON + "attempting.py",
        "if not proved.genuine:",
        "if False:",
    ),
    "older versions serve on": (
        CORE + "named_versions.py",
        "return math.inf if since_s is None else since_s + bound_s",
        "return math.inf",
    ),
    "asks no other hosts": (
        DAEMON + "tunnels.py",
        "names = self.forwarders.in_order(loop_time_s())[:MOST_ASKED]",
        "names: list[str] = []",
    ),
    "never refuses what crashes": (
        CORE + "crashes.py",
        "return max(by_marks_s, self.parts.refused_for_s(parts, now_s))",
        "return 0.0",
    ),
    "never refuses parts that crash": (
        CORE + "crashes.py",
        "return max(by_marks_s, self.parts.refused_for_s(parts, now_s))",
        "return by_marks_s",
    ),
    "never sees who leaves": (
        CORE + "endpoint.py",
        "return self.usable and not self.leaves and is_listed",
        "return self.usable and is_listed",
    ),
    "refuses what is taken up": (
        DAEMON + "callers_app.py",
        "if isinstance(terms, CallTerms) and self._ends_before(terms.route):",
        'if any(key.lower() == b"resumes" for key, _ in request.head.headers):',
    ),
}
"""Faults put in on purpose: file, what stands there, and what is put in its place."""


def plant_fault(folder: Path, plant: str) -> Path:
    """Return the sources to run, with a fault put in on purpose."""
    if not plant:
        return ROOT
    for source in SOURCES:
        ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
        shutil.copytree(ROOT / source, folder / source, ignore=ignored)
    file, before, after = PLANTS[plant]
    text = (folder / file).read_text()
    assert before in text, f"{plant}: the place has changed"
    (folder / file).write_text(text.replace(before, after))
    return folder
