"""Judges one run by what callers, backend servers and operators observed."""

import collections
import dataclasses

from bench.soak import records
from testing.platform import soak_parts

# Time from the store's acknowledgement within which a version is in force.
APPLY_DEADLINE_S = 2.5
# Time within which a leaving server gets its last new request, counted from the store's
# acknowledgement of its registration as draining, and, for each gateway process, also from the
# first answer in which the server announced that it leaves.
LEAVING_DEADLINE_S = 2.5
# Time without a disruption after which the bounds apply to a gateway.
STABLE_PERIOD_S = 4.0
# Time after the last fault from which requests must be served, and the ratio of those that are.
RECOVERY_DEADLINE_S = 4.0
SERVED_RATIO_MIN = 0.9
# A request that a stopping gateway cuts off within this time after it was sent, and that hasn't
# run, may have crossed the closing of its connection; any other must be answered.
STOP_RACE_S = 0.2
# Requests that a server with an advertised limit may get in a window: a factor on what the limit
# allows, plus a constant.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
# Requests of one gateway that may reach a server during a backoff, counted from the grace period
# after the refusal that requested the backoff.
BACKOFF_REQUESTS_MAX = 2
BACKOFF_GRACE_S = 0.5
# Time after which callers of a gateway without a path to the servers are served like those of the
# others, the ratio that counts as alike, and the requests that are needed to judge it.
PATH_NOTICED_S = 1.5
ALIKE_RATIO = 0.95
ALIKE_REQUESTS_MIN = 20
# Servers belong to the services in turn. So many of a service that accept less are a shortage.
SERVICES = 2
BUY_SERVICE = 1
SHORT_SERVERS_MIN = 2
# Lateness of the machine above which a run is not judged.
LATENESS_MAX_S = 1.0
DESCRIPTORS_MAX = 400
MEMORY_MAX_MB = 150.0
REFUSAL_STATUSES = (408, 421, 429, 503)
# Statuses that no caller with a key of a team may get, and those that one without may get, beside
# connections that ended without an answer.
KEY_REJECTED_STATUSES = (401, 403)
INTRUDER_STATUSES = (-1, 0, 401, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one check.

    :param judged: number of observations to which the check applied.
    """

    check: str
    judged: int
    problems: tuple[str, ...]


def judge(observed: records.Records) -> list[Verdict]:
    """Returns the verdict of every check."""
    return [
        _check_at_most_once(observed),
        _check_refusals(observed),
        _check_answers(observed),
        _check_apply_deadline(observed),
        _check_monotonic_versions(observed),
        _check_leaving(observed),
        _check_advertised_limits(observed),
        _check_backoffs(observed),
        _check_announced_leaving(observed),
        _check_graceful_stops(observed),
        _check_teams(observed),
        _check_stranded(observed),
        _check_recovery(observed),
        _check_failures_logged(observed),
        _check_processes(observed),
    ]


def _check_at_most_once(observed: records.Records) -> Verdict:
    counts = collections.Counter(run.request for run in observed.runs)
    buys = [item for item in observed.attempts if item.kind is records.RequestKind.BUY]
    problems = [
        f"{item.request} ran {counts[item.request]} times, expected at most 1"
        for item in buys
        if counts[item.request] > 1
    ]
    return Verdict("at most once", len(buys), tuple(problems))


def _check_refusals(observed: records.Records) -> Verdict:
    ran = {run.request for run in observed.runs}
    refused = [item for item in observed.attempts if item.status in REFUSAL_STATUSES]
    problems = [f"{i.request} got {i.status} and ran" for i in refused if i.request in ran]
    return Verdict("a refusal has not run", len(refused), tuple(problems))


def _check_answers(observed: records.Records) -> Verdict:
    answered = [item for item in observed.attempts if item.status == 200]
    problems = [f"{item.request} got another body" for item in answered if not item.is_right]
    return Verdict("whole and right answers", len(answered), tuple(problems))


def _check_apply_deadline(observed: records.Records) -> Verdict:
    judged, problems = 0, []
    bound = APPLY_DEADLINE_S + observed.lateness
    for item in observed.attempts:
        if not _is_probe_of_valid_route(observed, item):
            continue
        age = item.sent_at - observed.confirmed[item.version]
        if age <= bound or not _is_undisturbed(observed, item.gateway, item.sent_at):
            continue
        judged += 1
        if item.status == 404:
            problems.append(
                f"gateway {item.gateway}.{item.start}: no route of version {item.version}"
                f" {age:.2f} s after its confirmation, at {item.sent_at:.2f} ({item.request})"
            )
    return Verdict("in force within the bound", judged, tuple(problems))


def _check_monotonic_versions(observed: records.Records) -> Verdict:
    judged, problems = 0, []
    first_served_at: dict[tuple[int, int, int], float] = {}
    for item in sorted(observed.attempts, key=lambda item: item.sent_at):
        if not _is_probe_of_valid_route(observed, item):
            continue
        key = (item.gateway, item.start, item.version)
        if key in first_served_at and item.sent_at > first_served_at[key]:
            judged += 1
            if item.status == 404:
                problems.append(
                    f"gateway {item.gateway}.{item.start}: version {item.version} was in force at"
                    f" {first_served_at[key]:.2f} and not at {item.sent_at:.2f}"
                )
        if item.status > 0 and item.status not in (404, 503):
            first_served_at.setdefault(key, item.ended_at)
    return Verdict("never an older version", judged, tuple(problems))


def _check_leaving(observed: records.Records) -> Verdict:
    judged, problems = 0, []
    senders = _find_senders(observed)
    for run in observed.runs:
        gateway = senders.get(run.request)
        left_at = observed.left_at_by_server.get(run.server)
        if left_at is None or gateway is None or run.at <= left_at + LEAVING_DEADLINE_S:
            continue
        judged += 1
        late = run.at - left_at - LEAVING_DEADLINE_S
        if late > observed.lateness and _is_undisturbed(observed, gateway, run.at):
            problems.append(f"server {run.server} got {run.request} {late:.2f} s after the bound")
    return Verdict(
        "a leaving server gets nothing new",
        judged + len(observed.left_at_by_server),
        tuple(problems),
    )


def _check_advertised_limits(observed: records.Records) -> Verdict:
    judged, problems = 0, []
    senders = _find_senders(observed)
    for limit in observed.limits:
        allowed = LIMIT_FACTOR * limit.per_second * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS
        times = sorted(
            run.at
            for run in observed.runs
            if run.server == limit.server
            and limit.began_at <= run.at <= limit.ended_at
            and _is_undisturbed(observed, senders.get(run.request), run.at, includes_store=False)
        )
        judged += limit.ended_at > limit.began_at + STABLE_PERIOD_S
        ends = [at for at in times if at >= limit.began_at + STABLE_PERIOD_S]
        counts = [sum(end - LIMIT_WINDOW_S < at <= end for at in times) for end in ends]
        if max(counts, default=0) > allowed:
            problems.append(
                f"server {limit.server} named {limit.per_second} a second and got {max(counts)} in"
                f" {LIMIT_WINDOW_S} s, allowed {allowed:.0f}"
            )
    return Verdict("a named limit is kept", judged, tuple(problems))


def _check_backoffs(observed: records.Records) -> Verdict:
    judged, problems = 0, []
    for gateway, arrivals in _group_arrivals(observed).items():
        for refusal in arrivals:
            if refusal.backoff_s is None:
                continue
            since, until = refusal.at + BACKOFF_GRACE_S, refusal.at + refusal.backoff_s
            backoff_violations = [
                item
                for item in arrivals
                if item.server == refusal.server
                and since + observed.lateness < item.at < until
                and _is_undisturbed(observed, gateway[0], item.at, includes_store=False)
            ]
            judged += until > since
            if len(backoff_violations) > BACKOFF_REQUESTS_MAX:
                problems.append(
                    f"server {refusal.server} named a rest of {refusal.backoff_s:.1f} s at"
                    f" {refusal.at:.2f} and got {len(backoff_violations)} requests of gateway"
                    f" {gateway} in it"
                )
    return Verdict("a named rest is kept", judged, tuple(problems))


def _check_announced_leaving(observed: records.Records) -> Verdict:
    judged, problems = 0, []
    for gateway, arrivals in _group_arrivals(observed).items():
        announced_at: dict[int, float] = {}
        for item in arrivals:
            since = announced_at.get(item.server)
            is_late = since is not None and item.at > since + LEAVING_DEADLINE_S + observed.lateness
            if is_late and _is_undisturbed(observed, gateway[0], item.at, includes_store=False):
                problems.append(
                    f"server {item.server} said at {since:.2f} that it leaves and got"
                    f" {item.request} of gateway {gateway} at {item.at:.2f}"
                )
            if item.announces_leaving and since is None:
                announced_at[item.server] = item.at
                judged += 1
    return Verdict("a server that says it leaves gets nothing new", judged, tuple(problems))


def _find_senders(observed: records.Records) -> dict[str, int]:
    """Returns the gateway that sent each request to servers."""
    return {item.request: item.gateway for item in observed.attempts} | observed.relayed_to


def _group_arrivals(
    observed: records.Records,
) -> dict[tuple[int, int], list[records.Arrival]]:
    """Groups arrivals, in order of time, by gateway number and start of its process."""
    starts = {item.request: item.start for item in observed.attempts}
    senders = {
        request: (gateway, 0 if request in observed.relayed_to else starts[request])
        for request, gateway in _find_senders(observed).items()
    }
    groups: dict[tuple[int, int], list[records.Arrival]] = collections.defaultdict(list)
    for item in sorted(observed.arrivals, key=lambda item: item.at):
        if item.request in senders:
            groups[senders[item.request]].append(item)
    return groups


def _check_graceful_stops(observed: records.Records) -> Verdict:
    judged, problems = 0, []
    ran = {run.request for run in observed.runs}
    for gateway, start, began_at, ended_at in observed.stops:
        if (gateway, start) in observed.killed:
            continue
        for item in observed.attempts:
            is_concerned = (item.gateway, item.start) == (gateway, start)
            if not is_concerned or not began_at <= item.sent_at <= ended_at:
                continue
            if item.status == soak_parts.BEHIND_CLOSE_STATUS:
                judged += 1
                if item.request in ran:
                    problems.append(f"{item.request}: ran behind an answer that closed")
            if item.status < 0:
                continue
            judged += 1
            waited = item.ended_at - item.sent_at
            if item.status == 0 and (item.request in ran or waited > STOP_RACE_S):
                problems.append(
                    f"{item.request}: cut {waited:.2f} s after it was sent, in a planned stop"
                )
    return Verdict("a planned stop cuts nothing off", judged, tuple(problems))


def _check_teams(observed: records.Records) -> Verdict:
    """Compares the teams that requests name at servers with the keys that callers sent."""
    problems = []
    for item in observed.named_teams:
        expected = observed.teams.get(item.request, "")
        if item.request in observed.intruders:
            problems.append(f"{item.request} has an unknown key and reached server {item.server}")
        elif item.team != expected:
            problems.append(
                f"{item.request} names team {item.team!r} at server {item.server},"
                f" expected {expected!r}"
            )
        if item.has_key:
            problems.append(f"{item.request} has a key at server {item.server}")
    problems += [
        f"{item.request} of {observed.teams[item.request]} got {item.status}"
        for item in observed.attempts
        if observed.teams.get(item.request) and item.status in KEY_REJECTED_STATUSES
    ]
    problems += [
        f"{request} has an unknown key and got {status}"
        for request, status in observed.intruders.items()
        if status not in INTRUDER_STATUSES
    ]
    judged = len(observed.named_teams) + len(observed.intruders)
    return Verdict("requests are those of their teams", judged, tuple(problems))


def _check_stranded(observed: records.Records) -> Verdict:
    """Compares callers of gateways without a path to the servers with those of the others.

    Requests are left out while any gateway is down or frozen, as it may be the one that serves
    them, and while half of a service's servers are limited, faulty, evacuated or gone: gateways
    have unequal parts of what is left, whether they are stranded or not.
    """
    judged, problems = 0, []
    calm = [
        item
        for item in observed.attempts
        if item.kind is not records.RequestKind.PROBE
        and item.status >= 0
        and not _is_any_gateway_down(observed, item)
        and not _is_capacity_short(observed, item)
    ]
    for cut in observed.path_cuts:
        since = cut.began_at + PATH_NOTICED_S + observed.lateness
        during = [item for item in calm if since <= item.sent_at and item.ended_at <= cut.ended_at]
        cut_gateways = {item.gateway for item in observed.path_cuts}
        concerned = [item for item in during if item.gateway == cut.gateway]
        others = [item for item in during if item.gateway not in cut_gateways]
        if min(len(concerned), len(others)) < ALIKE_REQUESTS_MIN:
            continue
        judged += 1
        served, expected = (
            sum(item.status == 200 for item in group) / len(group) for group in (concerned, others)
        )
        if served < ALIKE_RATIO * expected:
            problems.append(
                f"gateway {cut.gateway}: {served:.0%} of {len(concerned)} served from"
                f" {since:.2f} to {cut.ended_at:.2f}, {expected:.0%} at the others"
            )
    return Verdict("callers of stranded gateways are served", judged, tuple(problems))


def _is_any_gateway_down(observed: records.Records, item: records.Attempt) -> bool:
    return any(
        disruption.gateway is not None
        and disruption.is_process
        and disruption.began_at <= item.ended_at
        and disruption.ended_at >= item.sent_at
        for disruption in observed.disruptions
    )


def _is_capacity_short(observed: records.Records, item: records.Attempt) -> bool:
    short = {
        shortage.server
        for shortage in observed.shortages
        if shortage.began_at <= item.ended_at and shortage.ended_at >= item.sent_at
    }
    by_service = collections.Counter(number % SERVICES for number in short)
    if item.kind is records.RequestKind.BUY:
        return by_service[BUY_SERVICE] >= SHORT_SERVERS_MIN
    # Changes move reads from one service to the other.
    return max(by_service.values(), default=0) >= SHORT_SERVERS_MIN


def _check_recovery(observed: records.Records) -> Verdict:
    since = observed.faults_end_at + RECOVERY_DEADLINE_S + observed.lateness
    late = [
        item
        for item in observed.attempts
        if since <= item.sent_at < observed.recovery_ends_at
        and item.kind is not records.RequestKind.PROBE
    ]
    served = sum(item.status == 200 for item in late)
    problems = []
    if not late or served < SERVED_RATIO_MIN * len(late):
        problems.append(f"{served} of {len(late)} served, expected {SERVED_RATIO_MIN:.0%}")
    return Verdict("service is back", len(late), tuple(problems))


def _check_failures_logged(observed: records.Records) -> Verdict:
    refused = [item for item in observed.attempts if item.status >= 400]
    problems = [
        f"{item.request} got {item.status}, and no log line names it"
        for item in refused
        if item.request not in observed.logged_requests
        and (item.gateway, item.start) not in observed.killed
    ]
    return Verdict("failures are explained", len(refused), tuple(problems))


def _check_processes(observed: records.Records) -> Verdict:
    problems = list(observed.error_lines)
    for gateway, count in observed.descriptors.items():
        if count > DESCRIPTORS_MAX:
            problems.append(f"gateway {gateway} has {count} descriptors open")
    for gateway, size in observed.memory_mb.items():
        if size > MEMORY_MAX_MB:
            problems.append(f"gateway {gateway} uses {size:.0f} MB")
    return Verdict("processes stay bounded and whole", len(observed.descriptors), tuple(problems))


def _is_probe_of_valid_route(observed: records.Records, item: records.Attempt) -> bool:
    """Returns whether every version that may be in force contains the probed route."""
    if item.kind is not records.RequestKind.PROBE or item.status < 0:
        return False
    confirmed = observed.confirmed.get(item.version)
    if confirmed is None or item.sent_at < confirmed:
        return False
    return all(
        version <= observed.routes_until[item.version]
        for version, at in observed.confirmed.items()
        if at <= item.ended_at
    )


def _is_undisturbed(
    observed: records.Records, gateway: int, at: float, includes_store: bool = True
) -> bool:
    """Returns whether a gateway had no disruption during the stable period before a time.

    :param includes_store: whether disruptions of the store count, too.
    """
    return not any(
        (item.gateway == gateway or (includes_store and item.gateway is None))
        and item.began_at <= at
        and item.ended_at >= at - STABLE_PERIOD_S - observed.lateness
        for item in observed.disruptions
    )
