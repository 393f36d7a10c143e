"""Model the operator's configuration."""

import dataclasses
import functools

from cardamomcroft.scheduling import models


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Map a host and path prefix to a queue."""

    host: str
    prefix: str
    queue: models.Queue
    is_public: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account, its priority, its guarantee and its keys.

    An account lasts as long as the configuration lists it. Keys say who
    calls, and may all be gone while accepted work remains.
    """

    name: str
    priority: int
    guaranteed_accelerators: int
    keys: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the routes and the accounts."""

    version: int
    routes: tuple[Route, ...]
    accounts: tuple[Account, ...]
    max_body_bytes: int

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[Route]]:
        """Return each host's routes, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return by_host

    @functools.cached_property
    def queues_by_name(self) -> dict[str, models.Queue]:
        """Return the queues by name, without names that several share."""
        queues: dict[str, set[models.Queue]] = {}
        for route in self.routes:
            queues.setdefault(route.queue.name, set()).add(route.queue)
        return {
            name: found.pop()
            for name, found in queues.items()
            if len(found) == 1
        }

    @functools.cached_property
    def accounts_by_name(self) -> dict[str, Account]:
        """Return the accounts by name, also those without a key."""
        return {account.name: account for account in self.accounts}

    @functools.cached_property
    def accounts_by_key(self) -> dict[str, Account]:
        """Return the account that each key belongs to."""
        return {
            key: account for account in self.accounts for key in account.keys
        }

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
