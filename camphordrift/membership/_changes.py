"""What a decision on membership leads to."""

from dataclasses import dataclass
from typing import Union

from camphordrift.membership._records import MemberRecord, ServerRecord

#: News that other VMs should hear.
NewsRecord = Union[MemberRecord, ServerRecord]


@dataclass(frozen=True)
class News:
    """A record that has changed."""

    #: The record as it now stands.
    record: NewsRecord

    #: True if it is worth telling at once rather than with the next probe.
    urgent: bool
