"""Ranks the backend servers of a service for one object, alike on every instance."""

import functools
import hashlib
import math

from caperdyke.state import ids

# Orders by turns of one instance for requests that concern no object.
SPREAD_ORDERS = 128


def make_spread_key(instance: ids.InstanceId, turn: int) -> ids.ObjectKey:
    """Returns what stands for the object in the order of a request that concerns none.

    Pattern: many instances get requests without an object. With one order for all of these, they
    all go to the same server; each instance has orders of its own and takes them by turns.
    """
    return ids.ObjectKey(f"{instance}#{turn % SPREAD_ORDERS}")


@functools.lru_cache(maxsize=200_000)
def score(key: ids.ObjectKey, server: ids.BackendId) -> float:
    """Returns a number over 0 to 1 that depends on object and server alone."""
    digest = hashlib.blake2b(f"{key}\n{server}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 0.5) / 2**64


def weigh(key: ids.ObjectKey, server: ids.BackendId, weight: float) -> float:
    """Returns the server's place in the object's order; the highest comes first.

    Weighted rendezvous hashing: a server is first for a part of all objects that goes with its
    weight, and a server that comes or leaves moves no object between two others.
    """
    return -weight / math.log(score(key, server))
