"""Runs a host with the settings, store and headers of the users' platform."""

import os
from pathlib import Path

from godwitladder.clock import Clock
from godwitladder.logs import configure_bounded_logs
from godwitladder.platform import names
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.platform.source import PlatformSource
from godwitladder.platform.store import StoreClient
from godwitladder.routing.daemon import read_settings_text, run_routing_host
from godwitladder.routing.settings import RoutedSettings, wait_for_settings


def make_source(settings: RoutedSettings) -> PlatformSource:
    """Return a client of the platform's store."""
    return PlatformSource(StoreClient(settings.store.address))


def run_host() -> None:
    """Run a host with the settings file that the platform names."""
    configure_bounded_logs()
    path = Path(os.environ[names.SETTINGS_VARIABLE])
    # Read first, so that a change between the two is found by comparing.
    text = read_settings_text(path)
    settings = wait_for_settings(path, Clock())
    run_routing_host(path, text, settings, make_source, PlatformHeaders())
