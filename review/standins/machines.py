"""Starts daemons by the command of the deploy file, each with its own address."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import tomllib
import traceback
import urllib.request
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"{{([a-z_.0-9]+)}}")
SECTION = re.compile(r"{{#([a-z_.0-9]+)}}\n(.*?){{/\1}}\n", re.DOTALL)

BOUNDS: dict[str, Any] = {
    "contact_ms": 3000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 5000,
    "require_fencing": False,
}
"""Bounds of the small deployment that SYSTEM.md describes first."""


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill a template of settings as the platform does."""

    def look_up(name: str) -> Any:
        found: Any = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return found

    kept = SECTION.sub(lambda match: match[2] if look_up(match[1]) else "", template)
    return PLACEHOLDER.sub(lambda match: str(look_up(match[1])), kept)


class Machine:
    """One machine of the system, and the process of its daemon."""

    def __init__(
        self, name: str, zone: str, ip: str, store: str, bounds: dict[str, Any]
    ) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        self.frontend, self.readiness = f"{ip}:8149", f"{ip}:8141"
        self._folder = tempfile.TemporaryDirectory()
        self._file = Path(self._folder.name) / "local.ini"
        self.process: subprocess.Popen[bytes] | None = None
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._role = role["knapweedbridged"]
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": ip,
            "listen": {"frontend": self.frontend, "readiness": self.readiness},
            "internal_ports": [7380, 7395],
            "platform": {"address": store},
            "bounds": bounds,
        }
        template = (ROOT / self._role["template"]).read_text()
        self._file.write_text(fill(template, fields))

    @property
    def log(self) -> Path:
        """The daemon's log."""
        return Path(self._folder.name) / "daemon.log"

    def start(self) -> None:
        """Start the daemon."""
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "KNAPWEEDBRIDGE_NODE_FILE": str(self._file),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                },
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Whether the daemon's process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def wait_end(self) -> None:
        """Wait until the daemon has ended."""
        while self.is_running:
            await asyncio.sleep(0.02)

    def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        try:
            url = f"http://{self.readiness}/v1/ready"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def wait_ready(self, longest_s: float = 20.0) -> bool:
        """Wait until the daemon says that it is ready."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + longest_s
        while loop.time() < until_s:
            if await asyncio.to_thread(self.is_ready):
                return True
            await asyncio.sleep(0.05)
        return False

    def end(self) -> None:
        """End the daemon for good."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()
        folder = Path(os.environ.get("KEEP_LOGS", "/nowhere"))
        if folder.is_dir():
            (folder / f"{self.name}.log").write_bytes(self.log.read_bytes())
        self._folder.cleanup()


class Record:
    """Writes `record.txt`: one JSON object a line, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return round(self._loop.time() - self._began_s, 4)

    def note(self, what: str, **fields: Any) -> None:
        """Write one line."""
        print(
            json.dumps({"s": self.now_s, "what": what, **fields}),
            file=self._file,
            flush=True,
        )


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> None:
    """Run a case, and exit with its status; 2: it could not run."""

    async def guarded() -> None:
        status = 2
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            status = await task
        except asyncio.CancelledError:
            print("stopped", file=sys.stderr)
        except Exception:
            traceback.print_exc()
        sys.stdout.flush()
        sys.stderr.flush()
        # All daemons have ended; the stand-ins end with this process.
        os._exit(status)

    asyncio.run(guarded())
