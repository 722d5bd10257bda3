"""Judges one run by what was seen from outside."""

import collections
import dataclasses

from bench.soak import records

# Bounds of the promises, in seconds.
APPLY_SECONDS = 2.5
LEAVING_SECONDS = 2.5
# Time without a disruption after which a gateway is held to the bounds, in seconds.
STABLE_SECONDS = 4.0
# Time after the last fault from which requests have to be served, and the part of them.
RECOVERY_SECONDS = 4.0
SERVED_PART = 0.9
# Time after its last byte from which a request that a stopping gateway took must be answered.
CROSSING_SECONDS = 0.2
# Requests that a server which names a limit may get in a window, in seconds: a factor on what the
# limit allows, and some besides.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# Requests of one gateway that may reach a server from this time after it named a rest until the end
# of the rest, in seconds.
REST_ALLOWED = 2
REST_AFTER_SECONDS = 0.5
# Lateness of the machine above which a run is not judged, in seconds.
LATENESS_MAX = 1.0
DESCRIPTORS_MAX = 400
MEMORY_MAX_MB = 150.0
REFUSALS = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one check.

    :param judged: how often the promise was put to the test.
    """

    check: str
    judged: int
    problems: tuple[str, ...]


def judge(seen: records.Records) -> list[Verdict]:
    """Returns the verdict of every check."""
    return [
        _check_once(seen),
        _check_refusals(seen),
        _check_answers(seen),
        _check_in_force(seen),
        _check_never_older(seen),
        _check_leaving(seen),
        _check_limits(seen),
        _check_rests(seen),
        _check_said_leaving(seen),
        _check_stops(seen),
        _check_recovery(seen),
        _check_explained(seen),
        _check_processes(seen),
    ]


def _check_once(seen: records.Records) -> Verdict:
    counts = collections.Counter(run.request for run in seen.runs)
    buys = [item for item in seen.attempts if item.kind is records.RequestKind.BUY]
    problems = [
        f"{item.request} ran {counts[item.request]} times, expected at most 1"
        for item in buys
        if counts[item.request] > 1
    ]
    return Verdict("at most once", len(buys), tuple(problems))


def _check_refusals(seen: records.Records) -> Verdict:
    ran = {run.request for run in seen.runs}
    refused = [item for item in seen.attempts if item.status in REFUSALS]
    problems = [f"{i.request} got {i.status} and ran" for i in refused if i.request in ran]
    return Verdict("a refusal has not run", len(refused), tuple(problems))


def _check_answers(seen: records.Records) -> Verdict:
    answered = [item for item in seen.attempts if item.status == 200]
    problems = [f"{item.request} got another body" for item in answered if not item.is_right]
    return Verdict("whole and right answers", len(answered), tuple(problems))


def _check_in_force(seen: records.Records) -> Verdict:
    judged, problems = 0, []
    bound = APPLY_SECONDS + seen.lateness
    for item in seen.attempts:
        if not _is_probe_of_valid_route(seen, item):
            continue
        age = item.sent_at - seen.confirmed[item.version]
        if age <= bound or not _is_calm(seen, item.gateway, item.sent_at):
            continue
        judged += 1
        if item.status == 404:
            problems.append(
                f"gateway {item.gateway}.{item.start}: no route of version {item.version}"
                f" {age:.2f} s after its confirmation, at {item.sent_at:.2f} ({item.request})"
            )
    return Verdict("in force within the bound", judged, tuple(problems))


def _check_never_older(seen: records.Records) -> Verdict:
    judged, problems = 0, []
    known: dict[tuple[int, int, int], float] = {}
    for item in sorted(seen.attempts, key=lambda item: item.sent_at):
        if not _is_probe_of_valid_route(seen, item):
            continue
        key = (item.gateway, item.start, item.version)
        if key in known and item.sent_at > known[key]:
            judged += 1
            if item.status == 404:
                problems.append(
                    f"gateway {item.gateway}.{item.start}: version {item.version} was in force at"
                    f" {known[key]:.2f} and not at {item.sent_at:.2f}"
                )
        if item.status > 0 and item.status not in (404, 503):
            known.setdefault(key, item.ended_at)
    return Verdict("never an older version", judged, tuple(problems))


def _check_leaving(seen: records.Records) -> Verdict:
    judged, problems = 0, []
    took = {item.request: item.gateway for item in seen.attempts}
    for run in seen.runs:
        gateway = took.get(run.request)
        left_at = seen.left.get(run.server)
        if left_at is None or gateway is None or run.at <= left_at + LEAVING_SECONDS:
            continue
        judged += 1
        late = run.at - left_at - LEAVING_SECONDS
        if late > seen.lateness and _is_calm(seen, gateway, run.at):
            problems.append(f"server {run.server} got {run.request} {late:.2f} s after the bound")
    return Verdict("a leaving server gets nothing new", judged + len(seen.left), tuple(problems))


def _check_limits(seen: records.Records) -> Verdict:
    judged, problems = 0, []
    took = {item.request: item.gateway for item in seen.attempts}
    for limit in seen.limits:
        allowed = LIMIT_FACTOR * limit.per_second * LIMIT_WINDOW_SECONDS + LIMIT_EXTRA
        times = sorted(
            run.at
            for run in seen.runs
            if run.server == limit.server
            and limit.began_at <= run.at <= limit.ended_at
            and _is_calm(seen, took.get(run.request), run.at, is_store_excused=False)
        )
        judged += limit.ended_at > limit.began_at + STABLE_SECONDS
        ends = [at for at in times if at >= limit.began_at + STABLE_SECONDS]
        counts = [sum(end - LIMIT_WINDOW_SECONDS < at <= end for at in times) for end in ends]
        if max(counts, default=0) > allowed:
            problems.append(
                f"server {limit.server} named {limit.per_second} a second and got {max(counts)} in"
                f" {LIMIT_WINDOW_SECONDS} s, allowed {allowed:.0f}"
            )
    return Verdict("a named limit is kept", judged, tuple(problems))


def _check_rests(seen: records.Records) -> Verdict:
    judged, problems = 0, []
    for gateway, arrivals in _group_arrivals(seen).items():
        for named in arrivals:
            if named.rest_seconds is None:
                continue
            since, until = named.at + REST_AFTER_SECONDS, named.at + named.rest_seconds
            found = [
                item
                for item in arrivals
                if item.server == named.server
                and since + seen.lateness < item.at < until
                and _is_calm(seen, gateway[0], item.at, is_store_excused=False)
            ]
            judged += until > since
            if len(found) > REST_ALLOWED:
                problems.append(
                    f"server {named.server} named a rest of {named.rest_seconds:.1f} s at"
                    f" {named.at:.2f} and got {len(found)} requests of gateway {gateway} in it"
                )
    return Verdict("a named rest is kept", judged, tuple(problems))


def _check_said_leaving(seen: records.Records) -> Verdict:
    judged, problems = 0, []
    for gateway, arrivals in _group_arrivals(seen).items():
        said_at: dict[int, float] = {}
        for item in arrivals:
            since = said_at.get(item.server)
            is_late = since is not None and item.at > since + LEAVING_SECONDS + seen.lateness
            if is_late and _is_calm(seen, gateway[0], item.at, is_store_excused=False):
                problems.append(
                    f"server {item.server} said at {since:.2f} that it leaves and got"
                    f" {item.request} of gateway {gateway} at {item.at:.2f}"
                )
            if item.says_leaving and since is None:
                said_at[item.server] = item.at
                judged += 1
    return Verdict("a server that says it leaves gets nothing new", judged, tuple(problems))


def _group_arrivals(
    seen: records.Records,
) -> dict[tuple[int, int], list[records.Arrival]]:
    """Returns arrivals in the order of time, by gateway and start of its process."""
    took = {item.request: (item.gateway, item.start) for item in seen.attempts}
    groups: dict[tuple[int, int], list[records.Arrival]] = collections.defaultdict(list)
    for item in sorted(seen.arrivals, key=lambda item: item.at):
        if item.request in took:
            groups[took[item.request]].append(item)
    return groups


def _check_stops(seen: records.Records) -> Verdict:
    judged, problems = 0, []
    ran = {run.request for run in seen.runs}
    for gateway, start, began_at, ended_at in seen.stops:
        if (gateway, start) in seen.killed:
            continue
        for item in seen.attempts:
            is_concerned = (item.gateway, item.start) == (gateway, start)
            if not is_concerned or not began_at <= item.sent_at <= ended_at or item.status < 0:
                continue
            judged += 1
            waited = item.ended_at - item.sent_at
            if item.status == 0 and (item.request in ran or waited > CROSSING_SECONDS):
                problems.append(
                    f"{item.request}: cut {waited:.2f} s after it was sent, in a planned stop"
                )
    return Verdict("a planned stop cuts nothing off", judged, tuple(problems))


def _check_recovery(seen: records.Records) -> Verdict:
    since = seen.faults_end_at + RECOVERY_SECONDS + seen.lateness
    late = [
        item
        for item in seen.attempts
        if item.sent_at >= since and item.kind is not records.RequestKind.PROBE
    ]
    served = sum(item.status == 200 for item in late)
    problems = []
    if not late or served < SERVED_PART * len(late):
        problems.append(f"{served} of {len(late)} served, expected {SERVED_PART:.0%}")
    return Verdict("service is back", len(late), tuple(problems))


def _check_explained(seen: records.Records) -> Verdict:
    refused = [item for item in seen.attempts if item.status >= 400]
    problems = [
        f"{item.request} got {item.status}, and no log line names it"
        for item in refused
        if item.request not in seen.explained and (item.gateway, item.start) not in seen.killed
    ]
    return Verdict("failures are explained", len(refused), tuple(problems))


def _check_processes(seen: records.Records) -> Verdict:
    problems = list(seen.bad_lines)
    for gateway, count in seen.descriptors.items():
        if count > DESCRIPTORS_MAX:
            problems.append(f"gateway {gateway} has {count} descriptors open")
    for gateway, size in seen.memory_mb.items():
        if size > MEMORY_MAX_MB:
            problems.append(f"gateway {gateway} uses {size:.0f} MB")
    return Verdict("processes stay bounded and whole", len(seen.descriptors), tuple(problems))


def _is_probe_of_valid_route(seen: records.Records, item: records.Attempt) -> bool:
    """Tells whether every version that may be in force has the route that a probe asks for."""
    if item.kind is not records.RequestKind.PROBE or item.status < 0:
        return False
    confirmed = seen.confirmed.get(item.version)
    if confirmed is None or item.sent_at < confirmed:
        return False
    return all(
        version <= seen.routes_until[item.version]
        for version, at in seen.confirmed.items()
        if at <= item.ended_at
    )


def _is_calm(seen: records.Records, gateway: int, at: float, is_store_excused: bool = True) -> bool:
    """Tells whether nothing disturbed a gateway for a while before a time.

    :param is_store_excused: whether trouble of the store counts as well.
    """
    return not any(
        (item.gateway == gateway or (is_store_excused and item.gateway is None))
        and item.began_at <= at
        and item.ended_at >= at - STABLE_SECONDS - seen.lateness
        for item in seen.disruptions
    )
