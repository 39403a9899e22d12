"""Limits how long a VM accepts API keys without confirming that its configuration is current."""

import time
from typing import Optional

#: Seconds by which the lease is shortened, to allow for clock drift and for the time until a
#: request arrives at the backend server.
LEASE_MARGIN = 0.4

#: Seconds after a restore of the store for which reads do not confirm the configuration. The store
#: may have lost a configuration that it had acknowledged; the operator and the servers write again
#: within about two seconds (PROTOCOL.md).
RESTORE_SETTLING_PERIOD = 2.0


def boot_time_clock() -> float:
    """Returns the seconds of a monotonic clock that also runs while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigurationLease:
    """Tracks whether the configuration was confirmed recently enough to accept keys.

    A response of the store proves what it contained when the read was sent, so the lease starts at
    that time. A store that was restored from an older copy proves this only once the operator has
    written again what was lost. All times are seconds of a clock that also runs while the VM is
    suspended.

    Args:
        duration: Seconds for which a configuration may be used after it was confirmed.
        margin: Seconds by which the lease is shortened.

    """

    def __init__(self, duration: float, margin: float = LEASE_MARGIN) -> None:
        self._duration = duration - margin
        self._confirmed_at: Optional[float] = None
        self._read_at: Optional[float] = None
        #: When this VM, or the first one to do so, noticed the last restore of the store.
        self._restored_at: Optional[float] = None

    def record_restore(self, now: float) -> None:
        """Records that the store was restored from an older copy."""
        self._restored_at = now

    def record_peer_restore(self, noticed_at: float) -> None:
        """Records when another VM noticed the restore that began the present era.

        A VM that started afterwards cannot notice the restore itself. All its reads were made in
        the present era, so those made shortly after the restore confirm nothing.
        """
        if self._restored_at is not None:
            self._restored_at = min(self._restored_at, noticed_at)
            return
        self._restored_at = noticed_at
        if self._confirmed_at is not None and self._confirmed_at < self._settled_at:
            self._confirmed_at = None

    def restore_age(self, now: float) -> Optional[float]:
        """Returns the seconds since the last restore was noticed; ``None`` without one."""
        return None if self._restored_at is None else now - self._restored_at

    @property
    def _settled_at(self) -> float:
        if self._restored_at is None:
            return float("-inf")
        return self._restored_at + RESTORE_SETTLING_PERIOD

    def settling_time(self, now: float) -> float:
        """Returns the seconds until a read of the restored store confirms the configuration."""
        return max(0.0, self._settled_at - now)

    def record_read(self, read_started: float) -> None:
        """Records a read of the store, which need not confirm the configuration."""
        if self._read_at is None or read_started > self._read_at:
            self._read_at = read_started

    def confirm(self, read_started: float) -> None:
        """Records that everything written before ``read_started`` has been read.

        Ignored if the store had been restored shortly before the read.
        """
        self.record_read(read_started)
        if read_started < self._settled_at:
            return
        if self._confirmed_at is None or read_started > self._confirmed_at:
            self._confirmed_at = read_started

    def age(self, now: float) -> float:
        """Returns the seconds since the start of the last confirmed read; infinite before it."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def read_age(self, now: float) -> float:
        """Returns the seconds since the start of the last read; infinite before it."""
        return float("inf") if self._read_at is None else now - self._read_at

    def is_valid(self, now: float) -> bool:
        """Returns whether keys of the configuration may still be accepted."""
        return self.age(now) < self._duration
