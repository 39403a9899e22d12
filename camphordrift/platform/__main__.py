"""Runs the relay on the users' platform."""

from camphordrift.platform._documents import PlatformDocuments
from camphordrift.platform._headers import PlatformHeaders
from camphordrift.platform._orders import PlatformOrders
from camphordrift.platform._settings import load_settings
from camphordrift.platform._store import PlatformStore
from camphordrift.relay import Adapters, LogTopics, run_relay

#: The first two are written by the operator and the engines only; topics whose names begin with
#: "keyed." keep the newest record of each key.
_TOPICS = LogTopics(
    configuration="keyed.op",
    configuration_key="config",
    servers="keyed.servers",
    members="keyed.members",
)


def main() -> None:
    """Runs one VM's relay until the platform stops it."""
    settings = load_settings()
    run_relay(
        settings,
        Adapters(
            headers=PlatformHeaders(),
            documents=PlatformDocuments(),
            orders=PlatformOrders(),
            log=PlatformStore(settings.store),
            topics=_TOPICS,
        ),
    )


if __name__ == "__main__":
    main()
