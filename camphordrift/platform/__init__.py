"""Adapter to the users' platform: its names, formats and calls. It makes no decisions."""

from camphordrift.platform._documents import PlatformDocuments
from camphordrift.platform._headers import PlatformHeaders
from camphordrift.platform._orders import PlatformOrders
from camphordrift.platform._settings import decode_settings, load_settings
from camphordrift.platform._store import PlatformStore

__all__ = [
    "PlatformDocuments",
    "PlatformHeaders",
    "PlatformOrders",
    "PlatformStore",
    "decode_settings",
    "load_settings",
]
