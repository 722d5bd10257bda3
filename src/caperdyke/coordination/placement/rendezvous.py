"""Weighted rendezvous hashing of objects to backend servers, equal on all instances."""

import functools
import hashlib
import math

from caperdyke.state import ids

# Rankings that one instance uses in rotation for requests without an object key.
SYNTHETIC_KEYS_MAX = 128


def make_synthetic_key(instance: ids.InstanceId, number: int) -> ids.ObjectKey:
    """Returns the key by which servers are ranked for a request without an object key.

    Pattern: many instances receive requests without an object key. With one ranking for all of
    them, all would go to the same server, so each instance rotates through rankings of its own.

    :param number: sequence number of the request on this instance.
    """
    return ids.ObjectKey(f"{instance}#{number % SYNTHETIC_KEYS_MAX}")


@functools.lru_cache(maxsize=200_000)
def hash_to_unit(key: ids.ObjectKey, server: ids.BackendId) -> float:
    """Returns a hash of object and server, evenly distributed between 0 and 1 (both excluded)."""
    digest = hashlib.blake2b(f"{key}\n{server}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 0.5) / 2**64


def compute_score(key: ids.ObjectKey, server: ids.BackendId, weight: float) -> float:
    """Returns the score of a server for an object; the server with the highest score ranks first.

    A server ranks first for a share of all objects in proportion to its weight. A server that joins
    or leaves moves no object from one of the other servers to another.
    """
    return -weight / math.log(hash_to_unit(key, server))
