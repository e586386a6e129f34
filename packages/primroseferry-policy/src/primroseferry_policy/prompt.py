"""What is known of a generation before it runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NewType

if TYPE_CHECKING:
    from collections.abc import Sequence

PartId = NewType("PartId", str)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt. Engines cache a processed part as long as their memory allows."""

    part: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Generation:
    """The ordered parts of a prompt, all its tokens, and the tokens of the expected answer."""

    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other prompts may contain too: all but the last."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """The key that gateways hash to send prompts with the same parts to the same engines.

        It is the last shared part, or the only part; empty if the prompt has no parts.
        """
        shared = last_shared_part(self.parts)
        if shared is not None:
            return shared.part
        return self.parts[0].part if self.parts else ""

    @property
    def memory_tokens(self) -> int:
        """Tokens of engine memory that the run takes when it ends."""
        return self.prompt_tokens + self.answer_tokens


def last_shared_part(parts: Sequence[PromptPart]) -> PromptPart | None:
    """Return the last part that other prompts may contain too, ``None`` if there is none."""
    return parts[-2] if len(parts) > 1 else None


NO_GENERATION = Generation()
