"""The fields from which the platform fills in the settings of a process."""

import copy
from typing import Any

FIELDS = {
    "nodeName": "edge-a-1",
    "role": "entry",
    "machineClass": "edge",
    "serves": ["edge", "control_plane"],
    "ip": "127.0.0.1",
    "zone": "zone-a",
    "region": "region-x",
    "zones": {"zone-a": "region-x", "zone-b": "region-x"},
    "listen": {
        "front": "127.0.0.1:8221",
        "ready": "127.0.0.1:8224",
        "control": "127.0.0.1:8229",
    },
    "portRange": [7600, 7615],
    "seedNodes": ["127.0.0.1:8229", "127.0.0.2:8229", "127.0.0.3:8229"],
    "bootstrap": True,
    "inTolerance": False,
    "limits": {
        "cpuShare": 0.731,
        "cores": 1,
        "memoryMb": 222,
        "maxFds": 1570,
        "linkMbps": 350.0,
        "diskMb": 0,
    },
    "dataDir": None,
    "discovery": "platform",
    "entry": "vip",
    "heartbeatMs": 1200,
    "contracts": ["base", "drain", "config"],
    "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
    "bounds": {
        "seedLagS": 3,
        "addrReuseS": 2,
        "contactMs": 3000,
        "ackMs": 4000,
        "catchUpS": 4,
        "drainMs": 2000,
        "graceS": 8,
        "lossSlackMs": 200,
        "configMs": 2000,
        "rollbackSlackMs": 250,
        "maxStretchMs": 5000,
        "strictRevocation": True,
        "revokeMs": 5000,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "retrySlack": 108,
        "quotaWindowS": 8,
        "quotaOverage": 0.1,
        "quotaSlack": 140000,
        "recoveryS": 12,
        "passMs": 120,
        "reuseWindowS": 10,
        "exposureShare": 0.1,
        "exposureSlack": 50,
        "rollbackMs": 5000,
    },
    "platform": {
        "address": "127.0.0.1:8225",
        "form": "log",
        "writesPerS": 400,
        "keep_s": 300,
        "ttlMinMs": 1000,
    },
}
"""A full set of fields, as the users' pages show it."""

REQUIRED = ("listen.front", "listen.ready", "listen.control", "platform.address")
"""Fields without which a host can't serve, and for which nothing else can stand in."""


def field_names() -> list[str]:
    """Return the dotted names of all fields and of the tables around them."""
    tables = [(name, value) for name, value in FIELDS.items()]
    inner = [
        f"{table}.{name}"
        for table, value in tables
        if isinstance(value, dict)
        for name in value
    ]
    return [*FIELDS, *inner]


def change(name: str, *value: Any) -> dict:
    """Return all fields with another ``value`` of one, or without it."""
    fields = copy.deepcopy(FIELDS)
    *path, last = name.split(".")
    table = fields
    for part in path:
        table = table[part]
    if value:
        table[last] = value[0]
    else:
        del table[last]
    return fields
