"""Converts the routing document and the targets to the scheduler's configuration.

The functions have no side effects.
"""

from godwitladder.configuration.model import (
    Service,
    ServiceKind,
    Target,
    TargetState,
    Tier,
    Workspace,
)
from godwitladder.configuration.state import ConfigState
from godwitladder.discovery.rollouts import OrderInForce
from godwitladder.discovery.store_view import StoreView
from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import Offset, TierName, Zone
from godwitladder.routing.model import RoutedService, RoutingDocument

TIER = TierName("all")
PREFILL_TPS = 60_000.0
DECODE_TPS = 250.0
"""Initial prefill and decode speeds of a model engine, in tokens per second.
They have the order of magnitude of current engines, and learned speeds replace
them."""
NO_SERVICE = RoutedService("")


def make_config_state(
    view: StoreView, span: Zone, clock_offset_s: float = 0.0
) -> ConfigState:
    """Return the scheduler's configuration, with all targets in ``span``.

    Any program can write an entry of a target. Those of services that the document
    does not name are left out: each such service would make a pool with an allocator
    and reports of its own.

    Parameters
    ----------
    clock_offset_s : float
        Seconds to add to times of `Clock.boottime` to get those of `Clock.monotonic`.
    """
    document = view.document
    return ConfigState(
        offset=Offset(view.version),
        tiers={TIER: Tier(rank=0)},
        workspaces={
            name: Workspace(
                tier=TIER, token_rate=row.quota.rate, token_burst=row.quota.burst
            )
            for name, row in document.workspaces.items()
        },
        services={
            name: Service(
                ServiceKind.MODEL if row.memory_tokens else ServiceKind.PLAIN, False
            )
            for name, row in document.services.items()
        },
        targets={
            row.name: make_target(row, document, span, row.name in view.held_back)
            for row in view.targets
            if row.service in document.named_services
        },
        rollouts={
            row.order.service: OrderInForce(row.order, row.ordered_at + clock_offset_s)
            for row in view.rollouts
        },
    )


def make_target(
    entry: TargetEntry, document: RoutingDocument, span: Zone, unproved: bool = False
) -> Target:
    """Return the scheduler's object for a target.

    Parameters
    ----------
    unproved : bool
        Whether the target gets no calls because its version is not proved yet.
    """
    service = document.services.get(entry.service, NO_SERVICE)
    return Target(
        address=entry.address,
        zone=span,
        place=entry.zone,
        services=(entry.service,),
        slots=entry.slots,
        memory_tokens=service.memory_tokens,
        prefill_tps=PREFILL_TPS,
        decode_tps=DECODE_TPS,
        generation=str(entry.started_ms),
        state=target_state(entry, unproved),
        release=entry.release,
    )


def target_state(entry: TargetEntry, unproved: bool) -> TargetState:
    """Return the state of a target, which decides whether it gets new calls."""
    if entry.leaving:
        return TargetState.LEAVING
    return TargetState.UNPROVED if unproved else TargetState.ACTIVE
