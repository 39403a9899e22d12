"""Lookup of routes and client accounts in a configuration."""

from typing import Optional

from camphordrift.relay.model import Account, Configuration, Route, ServiceShare


class RoutingTable:
    """Index of one version of the configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._routes: dict[str, dict[str, Route]] = {}
        #: Length of the longest prefix of each host.
        self._longest_prefix: dict[str, int] = {}
        for route in configuration.routes:
            host, prefix = route.host.lower(), route.path_prefix
            self._routes.setdefault(host, {})[prefix] = route
            self._longest_prefix[host] = max(len(prefix), self._longest_prefix.get(host, 0))

    @property
    def configuration(self) -> Configuration:
        """The indexed configuration."""
        return self._configuration

    def find_route(self, host: str, path: str) -> Optional[Route]:
        """Returns the route with the longest matching path prefix.

        Args:
            host: Value of the host header, with or without a port.
            path: Path of the request, with or without a query.

        """
        host_name = _host_name(host)
        routes = self._routes.get(host_name)
        if not routes:
            return None
        path = path.partition("?")[0]
        # A path may have thousands of slashes, and each lookup costs time in proportion to its key.
        end = min(len(path), self._longest_prefix[host_name])
        while (end := path.rfind("/", 0, end)) >= 0:
            if route := routes.get(path[: end + 1]):
                return route
        return None

    def find_account(self, key: Optional[str]) -> Optional[Account]:
        """Returns the client account of an API key; ``None`` if the key is unknown."""
        if key is None or self._configuration.accounts is None:
            return None
        return self._configuration.accounts.get(key)


def choose_service(shares: tuple[ServiceShare, ...], point: float) -> Optional[str]:
    """Returns the service at ``point`` of the cumulative distribution of the weights.

    Args:
        shares: Services with their weights.
        point: A number from 0 to 1; random for a weighted random choice.

    """
    remaining = point * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service if shares else None


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
