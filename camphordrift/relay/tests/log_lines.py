"""Collects log lines in tests."""

import logging


class LogLines(logging.Handler):
    """Collects the events of the lines that are logged in its context."""

    def __init__(self) -> None:
        super().__init__()
        #: Names of the events, in order.
        self.events: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Adds the event of a line."""
        self.events.append(record.getMessage().split()[0].removeprefix("event="))

    def __enter__(self) -> "LogLines":
        logging.getLogger("absl").addHandler(self)
        return self

    def __exit__(self, *_: object) -> None:
        logging.getLogger("absl").removeHandler(self)
