"""Identifiers, each a distinct type for the reader and the type checker."""

import typing

InstanceId = typing.NewType("InstanceId", str)
DomainName = typing.NewType("DomainName", str)
RegionName = typing.NewType("RegionName", str)
OperatorName = typing.NewType("OperatorName", str)
CustomerName = typing.NewType("CustomerName", str)
ServiceName = typing.NewType("ServiceName", str)
RouteName = typing.NewType("RouteName", str)
TeamName = typing.NewType("TeamName", str)
# Digest of an API key; the key itself is not kept.
KeyDigest = typing.NewType("KeyDigest", bytes)
# Object that a request concerns; a server is faster for objects that it handled recently.
ObjectKey = typing.NewType("ObjectKey", str)
BackendId = typing.NewType("BackendId", str)
RequestId = typing.NewType("RequestId", int)
Revision = typing.NewType("Revision", int)
ChangeId = typing.NewType("ChangeId", str)
Address = typing.NewType("Address", str)
# Start time of a process in milliseconds since 1970; grows with every restart.
Incarnation = typing.NewType("Incarnation", int)
# Seconds since 1970 on the wall clock.
Timestamp = typing.NewType("Timestamp", float)
# Identifies a request of a caller by its content, without containing any of it.
RequestDigest = typing.NewType("RequestDigest", bytes)
