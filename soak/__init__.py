"""Seeded fault-injection tests of a fleet of host processes.

Each host runs in its own process. Loopback proxies stand in front of the store,
the targets and some of the links between hosts. The seed determines the faults.
What callers and targets observed is checked against the guarantees in
`docs/PROMISES.md`.
"""
