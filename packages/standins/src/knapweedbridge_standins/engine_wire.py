"""The forms in which a stand-in engine answers."""

import json
from typing import Any


def event(value: Any) -> bytes:
    """Encode one server-sent event."""
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def chunk(model: str, token: str, chat: bool) -> dict[str, Any]:
    """Return one chunk of a streamed answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {"role": "assistant", "content": token}
    else:
        choice["text"] = token
    kind = "chat.completion.chunk" if chat else "text_completion"
    return {
        "id": "c",
        "object": kind,
        "created": 0,
        "model": model,
        "choices": [choice],
    }


def whole(model: str, text: str, tokens: int, chat: bool) -> dict[str, Any]:
    """Return an unstreamed answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": "c",
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": 1,
            "completion_tokens": tokens,
            "total_tokens": tokens + 1,
        },
    }
