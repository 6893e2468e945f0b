"""Errors of the administration API and their answers."""

from dataclasses import asdict
from enum import StrEnum
from typing import Any

from starlette.responses import JSONResponse, Response

from knapweedbridge_core.faults import Fault


class ErrorCode(StrEnum):
    """Stable codes of the administration API."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    FAULTS = "faults"
    STORE_DOWN = "store_down"
    OVERLOAD = "overload"


STATUS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.FAULTS: 422,
    ErrorCode.STORE_DOWN: 503,
    ErrorCode.OVERLOAD: 503,
}
RETRY_AFTER_S = 1


class ApiError(Exception):
    """A call of the administration API was refused.

    Parameters
    ----------
    code : ErrorCode
        Stable code, which gives the status.
    message : str
        What was wrong and what is allowed.
    details : Any
        Further members of the answer's body.
    """

    def __init__(self, code: ErrorCode, message: str, **details: Any) -> None:
        super().__init__(message)
        self.code = code
        self.details = details

    def response(self) -> Response:
        """Make the answer."""
        body = {"error": {"code": str(self.code), "message": str(self)}, **self.details}
        status = STATUS[self.code]
        later = {"Retry-After": str(RETRY_AFTER_S)} if status == 503 else None
        return JSONResponse(body, status_code=status, headers=later)


def faults_error(faults: list[Fault]) -> ApiError:
    """Make the error that names every fault of a folder."""
    listed = [asdict(fault) for fault in faults]
    return ApiError(ErrorCode.FAULTS, f"{len(faults)} faults", faults=listed)
