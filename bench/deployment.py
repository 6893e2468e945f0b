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
LOG_CHARS = 4000


class Deployment:
    """Starts and ends the processes of an example.

    Parameters
    ----------
    example : Example
        Addresses and sizes.
    engine_options : tuple of str
        Further arguments of each engine.
    """

    def __init__(self, example: Example, engine_options: tuple[str, ...] = ()) -> None:
        self.example = example
        self.processes: dict[str, subprocess.Popen] = {}
        self._engine_options = engine_options
        self._stack = ExitStack()

    def __enter__(self) -> "Deployment":
        """Start all processes and apply the folder.

        Raises
        ------
        RuntimeError
            If another process listens on an address of the example.
        """
        taken = self.example.taken()
        if taken:
            # Daemons of a run that was killed would answer in place of these.
            raise RuntimeError(f"another process listens on {', '.join(taken)}")
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
        for place in range(example.plains):
            self.plain(place)
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

    def plain(self, place: int) -> None:
        """Start an instance of the plain service."""
        name = f"counter-{place}"
        address = self.example.plain_instance(place)
        self.stand_in(name, "plain", "--listen", address, *self._journal(name))

    def engine(self, place: int) -> None:
        """Start an engine, cold."""
        name = f"draft-{place}"
        options = ["--listen", self.example.engine(place)]
        options += ["--weight-store", f"http://{self.example.weight_store}"]
        options += ["--slots", str(self.example.slots)]
        if place < self.example.checking:
            options.append("--checks-fencing")
        self.stand_in(
            name, "engine", *options, *self._engine_options, *self._journal(name)
        )

    def _journal(self, name: str) -> list[str]:
        return ["--name", name, "--journal", str(self._folder / f"{name}.jsonl")]

    def journals(self) -> list[Path]:
        """Return the files in which endpoints wrote what they ran."""
        return sorted(self._folder.glob("*.jsonl"))

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

    def tracebacks(self) -> dict[str, str]:
        """Return what processes wrote that is no line of a log."""
        found = {}
        for path in sorted(self._folder.glob("*.log")):
            lines = path.read_text().splitlines()
            text = "\n".join(line for line in lines if not line.startswith("{"))
            if text:
                found[path.stem] = text[-LOG_CHARS:]
        return found

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

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def _end_all(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def apply(self) -> None:
        """Apply the example's folder by the operators' command."""
        folder = str(self.folder("folder"))
        ends_s = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                self.command("apply", folder, "--wait")
                return
            except RuntimeError:
                # Daemons that have just started have no contact yet, and say so.
                if time.monotonic() > ends_s:
                    raise
                time.sleep(0.5)

    def folder(self, name: str, **further: str) -> Path:
        """Write the example's folder under a name, with further files."""
        folder = self._folder / name
        folder.mkdir(exist_ok=True)
        for file, text in {**self.example.folder(), **further}.items():
            (folder / file).write_text(text)
        return folder

    def command(self, *arguments: str, host: int = 0) -> str:
        """Run the operators' command and return what it printed.

        Raises
        ------
        RuntimeError
            If the command ends with another code than 0.
        """
        binary = Path(sys.executable).parent / "knapweedbridge"
        environment = {
            **os.environ,
            "KNAPWEEDBRIDGE_URL": f"http://{self.example.administration(host)}",
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
