"""Finds the route of a request by its host and the longest prefix of its path.

The index is built once per document: with hundreds of routes, a linear scan for
each request would cost more than all other work of a host for the request. The
functions have no side effects.
"""

from collections.abc import Iterable

from godwitladder.routing.model import Route, Split


class RouteTable:
    """The routes of one document.

    Parameters
    ----------
    routes : iterable of Route
        In any order.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        prefixes = self.by_host.get(host)
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_split(splits: tuple[Split, ...], draw: float) -> Split:
    """Return the split that ``draw`` selects by weight.

    Parameters
    ----------
    draw : float
        Random number in [0, 1).
    """
    left = draw * sum(split.weight for split in splits)
    for split in splits:
        left -= split.weight
        if left < 0:
            return split
    return splits[-1]


def parse_host_header(header: str) -> str:
    """Return the host name in a Host header, in lower case and without the port."""
    name, colon, port = header.rpartition(":")
    return (name if colon and port.isdigit() else header).lower()
