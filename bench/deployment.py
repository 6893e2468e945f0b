"""A deployment of separate processes on loopback, for whole runs."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import httpx

from knapweedbridge_standins.example import ADMINISTRATOR_KEY, Example

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0


class Deployment:
    """Starts and ends the processes of an example."""

    def __init__(self, example: Example) -> None:
        self.example = example
        self.processes: dict[str, subprocess.Popen] = {}
        self._stack = ExitStack()

    def __enter__(self) -> "Deployment":
        """Start all processes and apply the folder."""
        self._folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._stack.callback(self._end_all)
        try:
            self._start_all()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        """End all processes."""
        self._stack.close()

    def _start_all(self) -> None:
        example = self.example
        (self._folder / "secret").write_text("peer-secret-of-the-example")
        self.stand_in("key-value", "key-value", "--listen", example.key_value)
        self.stand_in("host-list", "host-list", "--listen", example.host_list)
        self.stand_in("weight-store", "weight-store", "--listen", example.weight_store)
        self.stand_in("counter-0", "plain", "--listen", example.plain)
        for place in range(example.engines):
            self.engine(place)
        self.await_answer(f"http://{example.host_list}/hosts")
        for line in example.listed_hosts():
            httpx.post(f"http://{example.host_list}/hosts", json=line)
        self.await_answer(f"http://{example.key_value}/calls")
        for place in range(example.daemons):
            self.daemon(place)
        for place in range(example.daemons):
            self.await_answer(f"http://{example.administration(place)}/v1/status")
        self.apply()

    def stand_in(self, name: str, *arguments: str) -> None:
        """Start a stand-in."""
        command = [sys.executable, "-m", "knapweedbridge_standins", *arguments]
        self._start(name, command)

    def engine(self, place: int) -> None:
        """Start an engine, cold."""
        self.stand_in(
            f"draft-{place}",
            "engine",
            "--listen",
            self.example.engine(place),
            "--weight-store",
            f"http://{self.example.weight_store}",
            "--slots",
            str(self.example.slots),
        )

    def daemon(self, place: int) -> None:
        """Start a daemon."""
        settings = self._folder / f"host-{place}.ini"
        settings.write_text(self.settings(place))
        binary = Path(sys.executable).parent / "knapweedbridged"
        self._start(f"host-{place}", [str(binary), "--settings", str(settings)])

    def settings(self, place: int) -> str:
        """Return the settings of a daemon as INI text."""
        return self.example.settings(place, str(self._folder / "secret"))

    def _start(self, name: str, command: list[str]) -> None:
        with open(self._folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def log(self, name: str) -> str:
        """Return what a process wrote."""
        return (self._folder / f"{name}.log").read_text()

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def _end_all(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def apply(self) -> None:
        """Apply the example's folder by the operators' command."""
        folder = self._folder / "folder"
        folder.mkdir(exist_ok=True)
        for name, text in self.example.folder().items():
            (folder / name).write_text(text)
        self.command("apply", str(folder), "--wait")

    def command(self, *arguments: str) -> str:
        """Run the operators' command and return what it printed."""
        binary = Path(sys.executable).parent / "knapweedbridge"
        environment = {
            **os.environ,
            "KNAPWEEDBRIDGE_URL": f"http://{self.example.administration(0)}",
            "KNAPWEEDBRIDGE_KEY": ADMINISTRATOR_KEY,
        }
        ended = subprocess.run(
            [str(binary), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if ended.returncode != 0:
            raise RuntimeError(f"{arguments}: {ended.stdout}{ended.stderr}")
        return ended.stdout

    @staticmethod
    def await_answer(url: str) -> None:
        """Wait until something answers at a URL."""
        ends_s = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                httpx.get(url)
                return
            except httpx.HTTPError:
                if time.monotonic() > ends_s:
                    raise
                time.sleep(0.05)
