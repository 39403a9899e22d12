"""Counts control messages between entry VMs and between entry VMs and engines."""

from dataclasses import dataclass

import msgpack

from camphordrift.routing import GrantAsk

#: Size of a framed grant, first-token report, outcome or load report, in bytes.
SMALL_MESSAGE_BYTES = 120


@dataclass
class ControlCost:
    """Number and size of the control messages of one run."""

    #: Messages sent.
    messages: int = 0

    #: Total size of the messages, in bytes.
    byte_count: int = 0

    def add_small(self, count: int = 1) -> None:
        """Counts messages of ``SMALL_MESSAGE_BYTES`` each."""
        self.messages += count
        self.byte_count += count * SMALL_MESSAGE_BYTES

    def add_grant_request(self, ask: GrantAsk) -> None:
        """Counts a grant request, whose size depends on the prefix block hashes it carries."""
        self.messages += 1
        self.byte_count += SMALL_MESSAGE_BYTES + len(msgpack.packb(list(ask.prefix_blocks)))
