"""What a process holds: memory, and open descriptors, at their highest."""

import os
import signal
import threading
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
LISTEN_STATE = "0A"

MOST_MEMORY_MB = 2000
"""Memory at which the process is ended, whatever its machine is said to have."""


class ProcessWatch:
    """Watches a process from a thread of its own, within the context.

    Parameters
    ----------
    pid : int
        Number of the process.
    ports : list of int
        Ports it listens on. Bytes received on their connections and not yet read count
        as its memory.

    Attributes
    ----------
    peak_memory_mb : float
        Most memory held at once, resident or in receive queues.
    peak_descriptors : int
        Most descriptors open at once.
    """

    def __init__(self, pid, ports):
        self._pid = pid
        self._process = Path(f"/proc/{pid}")
        self._ports = {f"{port:04X}" for port in ports}
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.peak_memory_mb = 0.0
        self.peak_descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._ended.set()
        self._thread.join()

    def _run(self):
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            try:
                memory_mb = self.resident_mb() + self.unread_mb()
                descriptors = self.descriptors()
            except OSError:
                # The process has ended, which the test finds by itself.
                return
            self.peak_memory_mb = max(self.peak_memory_mb, memory_mb)
            self.peak_descriptors = max(self.peak_descriptors, descriptors)
            if memory_mb > MOST_MEMORY_MB:
                os.kill(self._pid, signal.SIGKILL)
                return

    def resident_mb(self):
        for line in (self._process / "status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def unread_mb(self):
        """Return what the kernel holds for the process on accepted connections."""
        unread = 0
        for line in (self._process / "net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            port, state, queues = fields[1].partition(":")[2], fields[3], fields[4]
            if port in self._ports and state != LISTEN_STATE:
                unread += int(queues.partition(":")[2], 16)
        return unread / 1e6

    def descriptors(self):
        return sum(1 for _ in (self._process / "fd").iterdir())
