"""OpenTelemetry metrics, readable by Prometheus."""

import collections

import opentelemetry.metrics as otel_metrics_api
import prometheus_client
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as otel_metrics
from opentelemetry.sdk.metrics import view as otel_view

LATENCY_BUCKETS_MS = (1, 2, 3, 5, 8, 12, 20, 30, 50, 80, 120, 200, 350, 600, 1000, 2000, 5000)


# Teams with series of their own; the requests of further ones count together.
TEAMS_MAX = 2500
OTHER_TEAMS = "other teams"


class Metrics:
    """Metric instruments of one instance."""

    def __init__(self) -> None:
        reader = otel_prometheus.PrometheusMetricReader()
        view = otel_view.View(
            instrument_name="request_latency",
            aggregation=otel_view.ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_MS),
        )
        provider = otel_metrics.MeterProvider(metric_readers=[reader], views=[view])
        meter = provider.get_meter("caperdyke")
        self._latency = meter.create_histogram("request_latency", unit="ms")
        self._refusals = meter.create_counter("request_refusals")
        self._lookup_counts: collections.Counter[str] = collections.Counter()
        meter.create_observable_counter("lookups", callbacks=[self._observe_lookups])
        self._quota_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        meter.create_observable_counter("quota_decisions", callbacks=[self._observe_quotas])
        self._retries = meter.create_counter("retries")
        self._relayed = meter.create_counter("relayed_requests")
        # Requests by team and outcome; the teams are those of the configuration, never what a
        # request claims.
        self._team_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._teams: set[str] = set()
        meter.create_observable_counter("team_requests", callbacks=[self._observe_teams])
        self._unknown_messages = meter.create_counter("unknown_messages")
        self._has_path = True
        meter.create_observable_gauge("server_path", callbacks=[self._observe_path])
        self._blocked = 0
        meter.create_observable_gauge("blocked_requests", callbacks=[self._observe_blocked])
        self._store_calls = meter.create_counter("store_calls")
        self._configuration_version = 0
        meter.create_observable_gauge("configuration", callbacks=[self._observe_configuration])

    def count_answer(self, customer: str, service: str, kind: str, latency: float) -> None:
        """Records the latency of an answered request.

        :param kind: value of the label ``class``.
        :param latency: in seconds.
        """
        labels = {"customer": customer, "service": service, "class": kind}
        self._latency.record(latency * 1000, labels)

    def count_refusal(self, customer: str, service: str, outcome: str, reason: str) -> None:
        """Counts a refused request."""
        labels = {"customer": customer, "service": service, "outcome": outcome, "reason": reason}
        self._refusals.add(1, labels)

    def count_lookup(self, customer: str) -> None:
        """Counts an answered lookup."""
        self._lookup_counts[customer] += 1

    def _observe_lookups(self, _options):
        return [
            otel_metrics_api.Observation(count, {"customer": customer})
            for customer, count in self._lookup_counts.items()
        ]

    def count_quota_decision(self, team: str, outcome: str) -> None:
        """Counts a request of a team with a limit.

        :param outcome: ``granted``, ``exceeded`` or ``skipped`` for a repeated send.
        """
        self._quota_counts[team, outcome] += 1

    def _observe_quotas(self, _options):
        return [
            otel_metrics_api.Observation(count, {"team": team, "outcome": outcome})
            for (team, outcome), count in self._quota_counts.items()
        ]

    def count_team_request(self, team: str, outcome: str) -> None:
        """Counts a finished request of a deployment with teams.

        :param team: empty if the request belongs to none.
        :param outcome: ``answered``, or why the request was rejected.
        """
        if team not in self._teams:
            if len(self._teams) >= TEAMS_MAX:
                team = OTHER_TEAMS
            self._teams.add(team)
        self._team_counts[team, outcome] += 1

    def _observe_teams(self, _options):
        # A lone surrogate in a name would make the whole page unreadable.
        return [
            otel_metrics_api.Observation(
                count, {"team": team.encode(errors="replace").decode(), "outcome": outcome}
            )
            for (team, outcome), count in self._team_counts.items()
        ]

    def record_configuration(self, version: int) -> None:
        """Sets the gauge of the configuration version in force."""
        self._configuration_version = version

    def _observe_configuration(self, _options):
        return [otel_metrics_api.Observation(self._configuration_version)]

    def count_relayed(self, service: str, outcome: str) -> None:
        """Counts a request that another instance relayed here.

        :param outcome: status of the answer.
        """
        self._relayed.add(1, {"service": service, "outcome": outcome})

    def record_path(self, has_path: bool) -> None:
        """Sets the gauge of whether connections to servers can be opened."""
        self._has_path = has_path

    def _observe_path(self, _options):
        return [otel_metrics_api.Observation(int(self._has_path))]

    def record_blocked(self, count: int) -> None:
        """Sets the gauge of requests that are rejected since servers ended under them."""
        self._blocked = count

    def _observe_blocked(self, _options):
        return [otel_metrics_api.Observation(self._blocked)]

    def count_unknown_message(self, kind: int) -> None:
        """Counts a datagram of a kind that this build does not know."""
        self._unknown_messages.add(1, {"kind": str(kind)})

    def count_store_call(self, table: str, outcome: str) -> None:
        """Counts a finished call to the store.

        :param outcome: ``answered``, ``failed`` or ``given up``.
        """
        self._store_calls.add(1, {"table": table, "outcome": outcome})

    def count_retry(self, customer: str, service: str) -> None:
        """Counts a retry of a request."""
        self._retries.add(1, {"customer": customer, "service": service})


def render() -> bytes:
    """Returns all metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest()
