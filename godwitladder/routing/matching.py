"""Finds the route of a request: its host, then the longest prefix of its path.

Pure, and built once for each document: with hundreds of routes a scan for
each request would cost more than all the rest of its way through a host.
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
        """Return the route whose prefix is the longest that begins ``path``."""
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
    """Return the split that ``draw``, from 0 up to 1, falls into by weight."""
    left = draw * sum(split.weight for split in splits)
    for split in splits:
        left -= split.weight
        if left < 0:
            return split
    return splits[-1]


def parse_host_header(header: str) -> str:
    """Return the host of a Host header in lower case, without its port."""
    name, colon, port = header.rpartition(":")
    return (name if colon and port.isdigit() else header).lower()
