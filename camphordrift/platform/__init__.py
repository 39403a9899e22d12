"""Adapter to the users' platform: its names, formats and calls. It makes no decisions."""

from camphordrift.platform._documents import PlatformDocuments
from camphordrift.platform._headers import PlatformHeaders
from camphordrift.platform._orders import PlatformOrders
from camphordrift.platform._reports import PlatformReports
from camphordrift.platform._settings import decode_settings, load_settings
from camphordrift.platform._store import PlatformStore

__all__ = [
    "PlatformDocuments",
    "PlatformHeaders",
    "PlatformOrders",
    "PlatformReports",
    "PlatformStore",
    "decode_settings",
    "load_settings",
]
