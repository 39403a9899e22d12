"""Adapter to the users' platform: its names, formats and calls. It makes no decisions.

The parts are imported when they are first used, so that the program can prepare its start before.
"""

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from camphordrift.platform._documents import PlatformDocuments
    from camphordrift.platform._headers import PlatformHeaders
    from camphordrift.platform._orders import PlatformOrders
    from camphordrift.platform._reports import PlatformReports
    from camphordrift.platform._settings import decode_settings, load_settings
    from camphordrift.platform._store import PlatformStore

_MODULES = {
    "PlatformDocuments": "_documents",
    "PlatformHeaders": "_headers",
    "PlatformOrders": "_orders",
    "PlatformReports": "_reports",
    "PlatformStore": "_store",
    "decode_settings": "_settings",
    "load_settings": "_settings",
}

__all__ = [
    "PlatformDocuments",
    "PlatformHeaders",
    "PlatformOrders",
    "PlatformReports",
    "PlatformStore",
    "decode_settings",
    "load_settings",
]


def __getattr__(name: str) -> object:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULES[name]}"), name)
