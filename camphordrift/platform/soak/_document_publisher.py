"""Publishes server entries and configurations for the soak, and revokes API keys."""

import itertools
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.platform.soak._callers import ApiKeys
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._proxy import Proxy
from camphordrift.platform.soak._records import Evacuation
from camphordrift.platform.soak._servers import SoakServer
from camphordrift.platform.soak._store import SoakStore

#: Seconds between two writes of a server's entry (HeartbeatMs).
HEARTBEAT_INTERVAL = 1.2

#: Seconds after which the entry of a server expires that does not write it.
EXPIRY_TIME = 3 * HEARTBEAT_INTERVAL

#: Seconds for which a server is cold after it started in traffic, and requests per second that a
#: cold server takes from all VMs together.
COLD_PERIOD, COLD_RATE = 2.0, 1.0

#: Zones of the servers.
ZONES = ("z0", "z1")

#: Routes of the soak: name, which is also the path, kind, timeout in milliseconds, service, and
#: whether streams may be resumed.
_ROUTES = (
    ("s", "streaming", 4000, "engines", True),
    ("q", "streaming", 4000, "engines", False),
    ("o", "non_idempotent", 2000, "office", False),
    ("r", "idempotent", 2000, "office", False),
)


@dataclass(frozen=True)
class _RouteLimits:
    """Limits that a change of the configuration replaces."""

    #: Maximum number of servers to which a request is sent.
    attempts: int
    #: Target number of milliseconds between events.
    event_gap_ms: int
    #: Milliseconds for which an idle connection of a caller is kept open.
    idle_timeout_ms: int


#: Limits of the first configuration and, in turn, of each change. Callers are idle for up to 1.2 s.
_LIMITS = (_RouteLimits(3, 300, 60_000), _RouteLimits(2, 150, 2_000), _RouteLimits(4, 600, 4_000))


class DocumentPublisher:
    """Writes to the store what operators and backend servers write on the platform."""

    def __init__(
        self, store: SoakStore, observations: Observations, mentions_cold_servers: bool = False
    ) -> None:
        self._cold_settings: dict[str, object] = {}
        if mentions_cold_servers:
            self._cold_settings = {"ColdStartS": COLD_PERIOD, "ColdPerS": COLD_RATE}
        self._store = store
        self._observations = observations
        self.keys = ApiKeys({"k1": "school", "k2": "club"})
        self._key_numbers = itertools.count(3)
        self._version = 0
        self._limits = _LIMITS[0]
        self._configuration: dict[str, object] = {}
        #: Era of the store in which the configuration was last written.
        self._configuration_era = 0
        #: Entries of the servers that have not left, by id.
        self._entries: dict[str, dict[str, object]] = {}
        self._servers: dict[str, SoakServer] = {}
        #: The evacuation in progress.
        self._evacuation: Optional[Evacuation] = None

    async def run_heartbeats(self) -> None:
        """Writes the entries of the servers again and again until cancelled."""
        for sequence_number in itertools.count(1):
            await trio.sleep(HEARTBEAT_INTERVAL)
            for server_id, entry in self._entries.items():
                entry["Seq"] = sequence_number
                self._write_entry(server_id)

    async def write_again(self, delay: float) -> None:
        """Writes the newest documents again after the store was restored from an older copy.

        Args:
            delay: Seconds until the operator and the servers write. Entries of servers that have
                left expire later.

        """
        await trio.sleep(delay)
        await self._store.wait_until_up()
        if self._configuration_era < self._store.era:
            self._write_configuration()
        for zone in ZONES:
            self._write_zone(zone)
        for server_id in self._entries:
            self._write_entry(server_id)
        await trio.sleep(EXPIRY_TIME - delay)
        await self._store.wait_until_up()
        for server_id in self._store.newest_keys("keyed.servers") - self._entries.keys():
            self._store.put("keyed.servers", server_id, None)

    def publish_server(self, server: SoakServer, proxy: Proxy, state: str) -> None:
        """Publishes a server's entry, with the address of the proxy in front of it."""
        self._entries[server.id] = {
            "Service": "engines" if server.streams else "office",
            "Address": f"{proxy.host}:{proxy.port}",
            "Zone": server.zone,
            "Slots": 8,
            "State": state,
            "born": server.born,
        }
        self._servers[server.id] = server
        self._observations.zones[server.id] = server.zone
        self._write_entry(server.id)

    def make_cold(self, server: SoakServer, seconds: float) -> None:
        """Makes a server cold, and writes its entry if it has not left."""
        server.become_cold(seconds)
        if server.id in self._entries:
            self._write_entry(server.id)

    def remove_server(self, server_id: str) -> None:
        """Removes a server's entry."""
        self._entries.pop(server_id, None)
        if self._store.is_up:
            self._store.put("keyed.servers", server_id, None)

    async def expire(self, server_id: str) -> None:
        """Stops writing the entry of a server that crashed, and removes it later."""
        self._entries.pop(server_id, None)
        await trio.sleep(EXPIRY_TIME)
        self.remove_server(server_id)

    def _write_entry(self, server_id: str) -> None:
        """Writes an entry; while the store is down, the next heartbeat writes it."""
        if not self._store.is_up:
            return
        entry = self._entries[server_id]
        entry["ColdLeftMs"] = round(self._servers[server_id].cold_left * 1000)
        self._store.put("keyed.servers", server_id, entry)
        if entry["State"] == "draining":
            self._observations.draining_at.setdefault(server_id, trio.current_time())

    def publish_configuration(self) -> None:
        """Publishes the next version of the configuration."""
        self._version += 1
        accounts: dict[str, list[str]] = {}
        for key, account in self.keys.accounts.items():
            accounts.setdefault(account, []).append(key)
        self._configuration = {
            "Version": self._version,
            "Routes": [_route(*route, self._limits) for route in _ROUTES],
            "Limits": {"IdleTimeoutMs": self._limits.idle_timeout_ms},
            "Services": [
                {
                    "Name": "engines",
                    "Engine": {"Slots": 8, "KvCacheTokens": 300_000},
                    **self._cold_settings,
                },
                {"Name": "office", **self._cold_settings},
            ],
            "Tenants": [{"Name": name, "ApiKeys": keys} for name, keys in accounts.items()],
        }
        self._write_configuration()

    def _write_configuration(self) -> None:
        self._store.put("keyed.op", "config", self._configuration)
        self._configuration_era = self._store.era

    async def evacuate(self, zone: str, seconds: float) -> None:
        """Evacuates a zone and takes it back; does nothing while another zone is evacuated.

        Args:
            zone: The zone.
            seconds: Seconds after which the zone is taken back, as soon as the store is up.

        """
        await self._store.wait_until_up()
        if self._evacuation is not None:
            return
        self._evacuation = evacuation = Evacuation(zone, trio.current_time())
        self._observations.evacuations.append(evacuation)
        self._write_zone(zone)
        await trio.sleep(seconds)
        await self._store.wait_until_up()
        self._evacuation, evacuation.end = None, trio.current_time()
        self._write_zone(zone)

    def _write_zone(self, zone: str) -> None:
        is_evacuated = self._evacuation is not None and self._evacuation.zone == zone
        self._store.put("keyed.op", f"evacuate/{zone}", {} if is_evacuated else None)

    def change_limits(self) -> None:
        """Publishes a configuration with other limits."""
        self._limits = _LIMITS[(_LIMITS.index(self._limits) + 1) % len(_LIMITS)]
        self.publish_configuration()

    def replace_oldest_key(self) -> None:
        """Revokes the oldest API key and gives its account a new one."""
        key = next(iter(self.keys.accounts))
        account = self.keys.revoked[key] = self.keys.accounts.pop(key)
        self.keys.accounts[f"k{next(self._key_numbers)}"] = account
        self.publish_configuration()
        self._observations.key_revoked_at[key] = trio.current_time()


def _route(
    name: str, kind: str, timeout_ms: int, service: str, resumable: bool, limits: _RouteLimits
) -> dict[str, object]:
    return {
        "Name": name,
        "Host": "soak.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "SloMs": 500,
        "Service": service,
        "MaxAttempts": limits.attempts,
        "ResumeStreams": resumable,
        "GapTargetMs": limits.event_gap_ms,
    }
