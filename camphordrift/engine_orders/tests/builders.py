"""Builds lease terms for the tests of this package."""

from camphordrift.clocks import ClockReading
from camphordrift.experiments._orders_model import clocks
from camphordrift.leases import FencingNumber, LeaseTerm

_FAR = ClockReading(monotonic=1e9, wall=1e9)


def term(fencing_number: int = 7, settled_at: float = 0.0) -> LeaseTerm:
    return LeaseTerm(
        FencingNumber(fencing_number), usable_until=_FAR, settled_at=clocks(settled_at)
    )
