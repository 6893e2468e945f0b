"""What the process may use, as the operating system states it."""

import os
import resource

from knapweedbridge_core.resource_shares import Machine


def find_own_machine() -> Machine:
    """Return the machine's memory and the process's limit of descriptors."""
    memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Machine(memory_bytes, descriptors, 0)
