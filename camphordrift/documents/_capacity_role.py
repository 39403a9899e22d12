"""The section of one role on the capacity page."""

from collections.abc import Sequence
from dataclasses import dataclass

from camphordrift.documents._capacity_figures import bullets


@dataclass(frozen=True)
class RoleReport:
    """Resources that a role needs at the two-year size, and the limits of today's mechanism."""

    #: The role's name.
    name: str

    #: Today's mechanism.
    mechanism: str

    #: Memory of its state at the two-year size.
    memory: str

    #: Rate or size of its messages at the two-year size.
    messages: str

    #: CPU time at the two-year size.
    cpu_time: str

    #: Whether today's mechanism is sufficient at that size.
    assessment: str

    #: The calculation, one step per item.
    steps: Sequence[str]

    #: Where today's mechanism exceeds its budget; empty if it does not.
    limits: Sequence[str] = ()

    #: The proposed mechanism, with its calculation.
    proposal: Sequence[str] = ()

    @property
    def row(self) -> tuple[str, ...]:
        """The cells of the role's row in the summary table."""
        return (
            self.name,
            self.mechanism,
            self.memory,
            self.messages,
            self.cpu_time,
            self.assessment,
        )

    @property
    def section(self) -> str:
        """The role's section in Markdown."""
        parts = [f"## {self.name}", f"Today: {self.mechanism}.", bullets(self.steps)]
        if self.limits:
            parts += ["**Where it exceeds the budget.**", bullets(self.limits)]
        if self.proposal:
            parts += ["**Proposed mechanism** (designed, not implemented).", bullets(self.proposal)]
        return "\n\n".join(parts)
