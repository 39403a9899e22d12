"""One role's part of the capacity page."""

from collections.abc import Sequence
from dataclasses import dataclass

from camphordrift.documents._capacity_figures import bullets


@dataclass(frozen=True)
class RoleReport:
    """What a role needs at the two-year size, and where today's mechanism breaks."""

    #: The role's name.
    name: str

    #: Today's mechanism.
    mechanism: str

    #: Its state, at the two-year size.
    memory: str

    #: Its messages, at the two-year size.
    messages: str

    #: Its processor time, at the two-year size.
    processor: str

    #: Whether today's mechanism holds at that size.
    verdict: str

    #: The arithmetic, step by step.
    steps: Sequence[str]

    #: Where today's mechanism breaks; empty if it does not.
    breaks: Sequence[str] = ()

    #: The mechanism that is to carry it instead, with its arithmetic.
    instead: Sequence[str] = ()

    @property
    def row(self) -> tuple[str, ...]:
        """The role's row of the summary."""
        return (
            self.name,
            self.mechanism,
            self.memory,
            self.messages,
            self.processor,
            self.verdict,
        )

    @property
    def section(self) -> str:
        """The role's section."""
        parts = [f"## {self.name}", f"Today: {self.mechanism}.", bullets(self.steps)]
        if self.breaks:
            parts += ["**Where it breaks.**", bullets(self.breaks)]
        if self.instead:
            parts += ["**What carries it instead** (designed, not built).", bullets(self.instead)]
        return "\n\n".join(parts)
