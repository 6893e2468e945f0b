"""What a stand-in engine must answer: a function of adapter, version and prompt."""

import hashlib

_WORDS = (
    "lens",
    "quay",
    "solution",
    "tide",
    "box",
    "berth",
    "drop",
    "mooring",
    "crane",
    "pilot",
    "tariff",
    "vessel",
    "wearer",
    "refill",
    "dues",
)


def answer(model: str, prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the one right answer.

    Parameters
    ----------
    model : str
        ``adapter@version``.
    prompt : str
        The whole prompt.
    max_tokens : int
        Length of the answer.
    """
    seed = hashlib.sha256(f"{model}\0{prompt}".encode()).digest()
    tokens = [f"[{model}]"]
    for place in range(1, max_tokens):
        byte = seed[place % len(seed)] + place
        tokens.append(f" {_WORDS[byte % len(_WORDS)]}{place}")
    return tokens[:max_tokens]


def prompt_of(body: dict) -> str:
    """Return the prompt of a completions or chat completions body."""
    if "messages" in body:
        return "\n".join(
            f"{turn['role']}: {turn['content']}" for turn in body["messages"]
        )
    return str(body.get("prompt", ""))
