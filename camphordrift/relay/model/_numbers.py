"""Types of numbers in messages between VMs, which are checked when a message is decoded."""

from typing import Annotated

import msgspec

#: Lowest number of seconds in a message. Times that have passed are slightly negative.
MIN_SECONDS = -1e9

#: A number of seconds, which may be infinite, but not NaN: that is neither before nor after any
#: time, so that what it is compared with never ends or never begins.
Seconds = Annotated[float, msgspec.Meta(ge=MIN_SECONDS)]

#: Requests per second.
Rate = Annotated[float, msgspec.Meta(ge=0.0)]
