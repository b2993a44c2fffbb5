"""Checks that a routing document means one thing.

A document that fails one of them is refused as a whole: parts of two documents in force
at once are a document that no operator wrote.
"""

from collections import Counter
from collections.abc import Hashable, Iterable

from godwitladder.findings import Findings
from godwitladder.ids import ServiceName
from godwitladder.routing.model import Route, RoutedService, RoutedWorkspace

MAX_QUOTED_CHARS = 60


def check_document(
    routes: Iterable[Route],
    services: Iterable[RoutedService],
    workspaces: Iterable[RoutedWorkspace],
    findings: Findings,
) -> None:
    """Add a finding for each thing in a document that has no meaning or two.

    Parameters
    ----------
    routes, services, workspaces : iterable
        All rows of the document, in its order.
    findings : Findings
        Collects what is wrong.
    """
    routes, workspaces = tuple(routes), tuple(workspaces)
    names = [row.name for row in services]
    for route in routes:
        check_route(route, frozenset(names), findings)
    places = [(row.host, row.prefix) for row in routes]
    digests = [key for row in workspaces for key in row.key_digests]
    _check_unique("routes", "name", [row.name for row in routes], findings)
    _check_unique("routes", "host and path prefix", places, findings)
    _check_unique("services", "name", names, findings)
    _check_unique("workspaces", "name", [row.name for row in workspaces], findings)
    if len(set(digests)) < len(digests):
        findings.add("workspaces", "a key belongs to two of them")


def check_route(
    route: Route, services: frozenset[ServiceName], findings: Findings
) -> None:
    """Add a finding for each thing in a route that can't be carried out."""
    place = f"route {_shorten(route.name)}"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        text = f"its prefix {_shorten(route.prefix)} has no slash at an end"
        findings.add(place, text)
    for split in route.splits:
        if split.service not in services:
            text = (
                f"leads to the service {_shorten(split.service)}, which is not listed"
            )
            findings.add(place, text)
    if not sum(split.weight for split in route.splits) > 0:
        findings.add(place, "leads to no service, as no weight is above 0")


def _check_unique(
    place: str, kind: str, values: list[Hashable], findings: Findings
) -> None:
    for value, count in Counter(values).items():
        if count > 1:
            findings.add(place, f"{count} of them have the {kind} {_shorten(value)}")


def _shorten(value: object) -> str:
    return repr(value)[:MAX_QUOTED_CHARS]
