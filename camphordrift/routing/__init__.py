"""Which engine runs a request, in which order, when, and when to refuse."""

from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome, GrantSource

__all__ = ["Grant", "GrantAsk", "GrantOutcome", "GrantSource"]
