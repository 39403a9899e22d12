"""Parses the reports in which engines state their load."""

import msgspec

from camphordrift.platform._json import Count, decode_json
from camphordrift.relay import EngineReport


class _Report(msgspec.Struct, rename="pascal", frozen=True):
    running: Count
    queued: Count


_decoder = msgspec.json.Decoder(_Report)


class PlatformReports:
    """Implements :class:`camphordrift.relay.ReportFormat`."""

    @property
    def path(self) -> bytes:
        """URL path of an engine's report."""
        return b"/v1/report"

    def parse(self, content: bytes) -> EngineReport:
        """Parses a report.

        Raises:
            ValueError: The report is malformed.

        """
        report = decode_json(_decoder, content)
        return EngineReport(report.running, report.queued)
