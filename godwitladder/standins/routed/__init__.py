"""Stand-ins for the platform of routed mode: a store of keyed topics, an engine.

They implement the platform's documented protocol, with knobs for the faults that the
platform's documentation describes. They are built on the standard library's server,
because they must be able to fail below HTTP.
"""

from godwitladder.standins.routed.engine import (
    HEALTH_PATH,
    Ending,
    Endless,
    Engine,
    EngineHandler,
    EngineKnobs,
    start_engine,
)
from godwitladder.standins.routed.server import StandinServer
from godwitladder.standins.routed.store import (
    MAX_READ_BYTES,
    READ_HEADER,
    RECORD_LENGTH,
    Store,
    StoreHandler,
    StoreKnobs,
    read_page,
    start_store,
)

__all__ = [
    "HEALTH_PATH",
    "MAX_READ_BYTES",
    "READ_HEADER",
    "RECORD_LENGTH",
    "Ending",
    "Endless",
    "Engine",
    "EngineHandler",
    "EngineKnobs",
    "StandinServer",
    "Store",
    "StoreHandler",
    "StoreKnobs",
    "read_page",
    "start_engine",
    "start_store",
]
