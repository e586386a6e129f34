"""Validation of callers' input; every error states what is wrong and what was expected."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error

if TYPE_CHECKING:
    from werkzeug.wrappers import Request

NEEDED_WITHIN_HEADER = "X-Needed-Within-Ms"
MAX_NEEDED_WITHIN_MS = 3_600_000
MAX_ANSWER_TOKENS = 32_768


def bearer_token(request: Request) -> str:
    """Return the bearer token of the request, empty if it has none."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def needed_within_ms(request: Request, default_ms: int) -> int:
    """Return the milliseconds within which the caller needs the answer.

    Raises ``BAD_REQUEST`` unless it is a whole number from 1 to ``MAX_NEEDED_WITHIN_MS``.
    """
    text = request.headers.get(NEEDED_WITHIN_HEADER)
    if text is None:
        return default_ms
    if not text.isdecimal() or not 1 <= int(text) <= MAX_NEEDED_WITHIN_MS:
        raise problem_error(
            ErrorKind.BAD_REQUEST,
            f"{NEEDED_WITHIN_HEADER} must be a whole number from 1 to {MAX_NEEDED_WITHIN_MS}, "
            f"got {text[:40]!r}",
        )
    return int(text)


def parse_chat_body(body: bytes) -> dict[str, Any]:
    """Return the validated JSON of a chat request. Raises ``BAD_REQUEST``."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise problem_error(
            ErrorKind.BAD_REQUEST, f"the body is not valid JSON: {error}"
        ) from error
    if not isinstance(data, dict):
        raise problem_error(ErrorKind.BAD_REQUEST, "the body must be a JSON object")
    _check(isinstance(data.get("model"), str) and data["model"], "model", "the name of a model")
    messages = data.get("messages")
    _check(
        isinstance(messages, list)
        and len(messages) > 0
        and all(isinstance(message, dict) for message in messages),
        "messages",
        "a list of at least one message object",
    )
    _check(isinstance(data.get("stream", False), bool), "stream", "true or false")
    max_tokens = data.get("max_tokens")
    _check(
        max_tokens is None or (type(max_tokens) is int and 1 <= max_tokens <= MAX_ANSWER_TOKENS),
        "max_tokens",
        f"a whole number from 1 to {MAX_ANSWER_TOKENS}",
    )
    return data


def _check(is_valid: object, field_name: str, expected: str) -> None:
    if not is_valid:
        raise problem_error(ErrorKind.BAD_REQUEST, f"field {field_name}: expected {expected}")
