"""One host on the users' platform: its settings, its store and its headers."""

import os
from pathlib import Path

from godwitladder.logs import configure_bounded_logs
from godwitladder.platform import names
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.platform.source import PlatformSource
from godwitladder.platform.store import StoreClient
from godwitladder.routing.daemon import run_routing_host
from godwitladder.routing.settings import RoutedSettings, read_routed_settings


def make_source(settings: RoutedSettings) -> PlatformSource:
    """Return the platform's store."""
    return PlatformSource(StoreClient(settings.store.address))


def run_host() -> None:
    """Run the host that the platform's settings file describes."""
    configure_bounded_logs()
    path = Path(os.environ[names.SETTINGS_VARIABLE])
    run_routing_host(path, read_routed_settings(path), make_source, PlatformHeaders())
