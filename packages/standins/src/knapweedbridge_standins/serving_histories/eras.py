"""Owners of one engine while the store comes back from older copies."""

import random

from knapweedbridge_core.serving import ClusterState, OwnerRecord, era_of
from knapweedbridge_core.serving import store_eras as store_eras_module
from knapweedbridge_core.serving.cluster_state import OwnerNamed

ENGINE = "e1"


def play_eras(seed: int, changes: int = 60) -> list[str]:
    """Return fencing numbers that fell, and owners that were not believed in."""
    luck = random.Random(seed)
    cluster, broken = ClusterState(), []
    era, revision, last = 1, 1, 0
    for turn in range(changes):
        if luck.random() < 0.1:
            era, revision = era + 1, max(1, revision - luck.randrange(30))
        revision += luck.randrange(1, 4)
        number = store_eras_module.stamp(era, revision)
        if number <= last:
            broken.append(f"turn {turn}: number {number} after {last}")
        last = number
        owner = f"h{luck.randrange(5)}"
        cluster.take(OwnerNamed(ENGINE, OwnerRecord(owner, 1, number)), float(turn))
        if cluster.owners[ENGINE].owner != owner:
            broken.append(f"turn {turn}: {owner} is not believed to own it")
        if era_of(number) != era:
            broken.append(f"turn {turn}: era {era_of(number)} for {era}")
    return broken
