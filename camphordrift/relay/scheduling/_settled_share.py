"""Delays rises of the share of the limits on which a VM decides."""

from collections.abc import Callable
from typing import Optional

#: Seconds after which every VM has noticed that it lost its leader or a follower, and has reduced
#: its own share: the time without received data after which links are closed.
SETTLING_TIME = 0.8


class SettledShare:
    """The share on which a VM decides, without rises of the last :data:`SETTLING_TIME` seconds.

    A VM that starts to decide cannot know whether another one still does.

    Args:
        share: Returns the present share.

    """

    def __init__(self, share: Callable[[], float]) -> None:
        self._share = share
        # A VM that has just started does not know the others yet.
        self._value = 0.0
        #: The lowest share since the first rise that is not settled, and the time of that rise.
        self._rise: Optional[tuple[float, float]] = None
        #: Time of the last rise of the settled share.
        self.risen_at = float("-inf")

    def time_left(self, now: float) -> float:
        """Returns the seconds until a rise is settled; 0 if there is none."""
        return 0.0 if self._rise is None else max(0.0, self._rise[1] + SETTLING_TIME - now)

    def value(self, now: float) -> float:
        """Returns the settled share; must be called regularly to notice changes in time."""
        present = self._share()
        if present <= self._value:
            self._value, self._rise = present, None
        elif self._rise is None:
            self._rise = present, now
        else:
            lowest, since = min(present, self._rise[0]), self._rise[1]
            if now - since < SETTLING_TIME:
                self._rise = lowest, since
            else:
                self._value, self.risen_at = lowest, now
                self._rise = None if present <= lowest else (present, now)
        return self._value
