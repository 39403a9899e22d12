"""Settings of the processes, loaded from TOML files and validated on load."""

from camphordrift.settings._addresses import SocketAddress, parse_base_url, parse_socket_address
from camphordrift.settings._entry import (
    DrainingSettings,
    EntrySettings,
    KeySources,
    LimitSettings,
    ListenSettings,
    PlatformSettings,
    TlsFiles,
    TlsSettings,
    VmSettings,
)
from camphordrift.settings._entry_model import EntryModel
from camphordrift.settings._fields import Expected
from camphordrift.settings._loading import (
    load_entry_settings,
    load_standin_settings,
    parse_entry_settings,
    parse_standin_settings,
)
from camphordrift.settings._problems import SettingsErrors, SettingsProblem
from camphordrift.settings._standins import (
    EngineSettings,
    ListedVm,
    LogServiceSettings,
    PlainServiceSettings,
    StandinSettings,
    VmListSettings,
    WeightStoreSettings,
)
from camphordrift.settings._standins_model import StandinsModel

__all__ = [
    "DrainingSettings",
    "EngineSettings",
    "EntryModel",
    "EntrySettings",
    "Expected",
    "KeySources",
    "LimitSettings",
    "ListedVm",
    "ListenSettings",
    "LogServiceSettings",
    "PlainServiceSettings",
    "PlatformSettings",
    "SettingsErrors",
    "SettingsProblem",
    "SocketAddress",
    "StandinSettings",
    "StandinsModel",
    "TlsFiles",
    "TlsSettings",
    "VmListSettings",
    "VmSettings",
    "WeightStoreSettings",
    "load_entry_settings",
    "load_standin_settings",
    "parse_base_url",
    "parse_entry_settings",
    "parse_socket_address",
    "parse_standin_settings",
]
