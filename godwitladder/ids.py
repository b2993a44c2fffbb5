"""Distinct types for the identifiers used throughout the package."""

from typing import NewType

HostId = NewType("HostId", str)
FleetId = NewType("FleetId", str)
Incarnation = NewType("Incarnation", int)
Zone = NewType("Zone", str)
TierName = NewType("TierName", str)
WorkspaceName = NewType("WorkspaceName", str)
ServiceName = NewType("ServiceName", str)
TargetName = NewType("TargetName", str)
RequestId = NewType("RequestId", str)
StreamId = NewType("StreamId", str)
KeyDigest = NewType("KeyDigest", str)
BodyDigest = NewType("BodyDigest", str)
Nonce = NewType("Nonce", str)
Offset = NewType("Offset", int)
Era = NewType("Era", int)
TicketNumber = NewType("TicketNumber", int)
RouteName = NewType("RouteName", str)
AttemptId = NewType("AttemptId", str)
Release = NewType("Release", str)
TraitId = NewType("TraitId", str)
