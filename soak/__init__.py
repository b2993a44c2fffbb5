"""Real hosts under faults that are injected from outside them, by seed.

Hosts run as processes. Their store, their targets and some of their links lie
behind loopback proxies. A seed draws the faults, and what callers and targets
saw is held against the promises of `docs/PROMISES.md`.
"""
