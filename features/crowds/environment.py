import sys
from pathlib import Path

AREAS = Path(__file__).parents[1]
AREA = Path(__file__).parent
sys.path[:0] = [str(AREA), str(AREAS / "platform"), str(AREAS.parent / "bench")]
