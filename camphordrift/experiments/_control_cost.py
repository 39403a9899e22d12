"""Counts the control messages between the system's processes and to the engines."""

from dataclasses import dataclass

import msgpack

from camphordrift.routing import GrantAsk

#: A grant, a first-token note, an outcome or a load report, framed, in bytes.
SMALL_MESSAGE_BYTES = 120


@dataclass
class ControlCost:
    """Messages and their bytes, over a whole run."""

    #: Messages sent.
    messages: int = 0

    #: Their bytes.
    byte_count: int = 0

    def add_small(self, count: int = 1) -> None:
        """Counts messages of fixed size."""
        self.messages += count
        self.byte_count += count * SMALL_MESSAGE_BYTES

    def add_grant_request(self, ask: GrantAsk) -> None:
        """Counts an ask, which carries the hashes of its blocks."""
        self.messages += 1
        self.byte_count += SMALL_MESSAGE_BYTES + len(msgpack.packb(list(ask.prefix_blocks)))
