"""Selects the pairs of instances with a control link; the links per instance stay few."""

import zlib

from caperdyke.state import ids, member

# Distances on the ring of a failure domain's instances at which control links are kept.
RING_DISTANCES = (1, 4, 16, 64)
# Links kept between each ordered pair of failure domains.
CROSS_LINKS = 2
# Instances of a failure domain that poll the platform at the full rate.
POLLERS_PER_DOMAIN = 2
# Reads per second that all other instances of a domain together make while they receive no updates
# from their peers.
BACKUP_READS_PER_SECOND = 20


def choose_links(own: member.Member, members: list[member.Member]) -> list[ids.InstanceId]:
    """Returns the instances to which this one opens control links.

    :param members: instances that are not gone, this one included.
    """
    by_domain: dict[ids.DomainName, list[member.Member]] = {}
    for record in sorted(members, key=lambda item: item.instance):
        by_domain.setdefault(record.domain, []).append(record)
    ring = by_domain.get(own.domain, [])
    chosen = _choose_ring_links(own, ring)
    for domain, others in by_domain.items():
        if domain != own.domain:
            chosen += _choose_cross_links(own, ring, domain, others)
    return list(dict.fromkeys(chosen))


def _choose_ring_links(own: member.Member, ring: list[member.Member]) -> list[ids.InstanceId]:
    instance_ids = [record.instance for record in ring]
    if own.instance not in instance_ids:
        return []
    position = instance_ids.index(own.instance)
    chosen = []
    for distance in RING_DISTANCES:
        if distance < len(instance_ids):
            chosen.append(instance_ids[(position + distance) % len(instance_ids)])
    return chosen


def _choose_cross_links(
    own: member.Member,
    ring: list[member.Member],
    domain: ids.DomainName,
    others: list[member.Member],
) -> list[ids.InstanceId]:
    senders = rank_instances(f"{own.domain}>{domain}", [record.instance for record in ring])
    if own.instance not in senders[:CROSS_LINKS]:
        return []
    receivers = rank_instances(f"{domain}<{own.domain}", [record.instance for record in others])
    return [receivers[senders.index(own.instance) % len(receivers)]]


def find_poll_interval(
    own_instance: ids.InstanceId,
    domain: ids.DomainName,
    instances: list[ids.InstanceId],
    interval: float,
) -> float:
    """Returns the interval at which an instance polls the platform, in seconds.

    A few instances poll at the full rate and pass changes on. The others share a rate that does not
    grow with their number, so that a platform that recovers is not overloaded.

    :param instances: usable instances of the domain, this one included.
    :param interval: interval at the full rate, in seconds.
    """
    ranked = rank_instances(f"poll/{domain}", instances)
    if own_instance in ranked[:POLLERS_PER_DOMAIN]:
        return interval
    return max(interval, len(instances) / BACKUP_READS_PER_SECOND)


def rank_instances(subject: str, instances: list[ids.InstanceId]) -> list[ids.InstanceId]:
    """Orders instances by rendezvous hash, so that removing one moves only its own subjects."""
    return sorted(
        instances,
        key=lambda instance: (zlib.crc32(f"{subject}/{instance}".encode()), instance),
    )
