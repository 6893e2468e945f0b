"""What the store says, late, twice, out of order and stale."""

import random

from knapweedbridge_core.serving import ClusterState, Deployment, ModelRef, OwnerRecord
from knapweedbridge_core.serving.cluster_state import (
    DeploymentNamed,
    OwnerNamed,
    VersionNamed,
)


def play_beliefs(seed: int, steps: int = 300) -> list[str]:
    """Return where something older was put in force than was seen before."""
    luck = random.Random(seed)
    cluster, model = ClusterState(), ModelRef("m", "a1")
    written = 0
    seen = {"configuration": 0, "version": 0, "owner": 0}
    broken = []
    for step in range(steps):
        written += luck.random() < 0.4
        number = max(1, written - luck.choice([0, 0, 0, 1, 2, 5]))
        kind = luck.choice(list(seen))
        seen[kind] = max(seen[kind], number)
        if kind == "configuration":
            cluster.take(DeploymentNamed(Deployment(number, (), {})), step)
        elif kind == "version":
            cluster.take(VersionNamed(model, number), step)
        else:
            cluster.take(OwnerNamed("e", OwnerRecord("h", 1, number)), step)
        deployment, owner = cluster.deployment, cluster.owners.get("e")
        in_force = {
            "configuration": deployment.version if deployment else 0,
            "version": cluster.newest_version(model) or 0,
            "owner": owner.number if owner else 0,
        }
        if in_force != seen:
            broken.append(f"step {step}: {in_force} in force, {seen} seen")
    return broken
