"""Faults that a test switches on a stand-in by HTTP."""

import json
from dataclasses import fields
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, Response


async def set_faults(faults: Any, request: Request) -> Response:
    """Set the named fields of a dataclass of faults; unknown names change nothing."""
    wanted = json.loads(await request.body())
    allowed = {field.name for field in fields(faults)}
    unknown = sorted(set(wanted) - allowed)
    if unknown:
        message = f"unknown {unknown}; allowed: {sorted(allowed)}"
        return JSONResponse({"error": message}, status_code=422)
    for name, value in wanted.items():
        setattr(faults, name, value)
    return JSONResponse({name: getattr(faults, name) for name in sorted(allowed)})
