"""Datagrams by which instances tell each other under which requests backend servers ended.

A message is ``[103, [[digest, age in milliseconds, [start, ...], [excused start, ...]], ...]]``.
Items beyond these are ignored, so that later builds may add some.
"""

import dataclasses

from caperdyke import errors
from caperdyke.protocol import instance_messages
from caperdyke.state import ids

KIND = 103
DIGEST_BYTES = 16
# Most records in a datagram, about 1,200 bytes, and most starts in a record that are accepted.
RECORDS_MAX = 20
STARTS_MAX = 16


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """What an instance knows of one request.

    :param starts: hashes of the starts of servers that ended under the request, and whether a later
        success of the request excuses it.
    :param age: time since the latest of these ends, in seconds.
    """

    digest: ids.RequestDigest
    starts: dict[int, bool]
    age: float


def encode_reports(reports: list[CrashReport]) -> bytes:
    """Returns the datagram of up to ``RECORDS_MAX`` reports."""
    items = [
        [
            report.digest,
            max(0, round(report.age * 1000)),
            [start for start, is_excused in report.starts.items() if not is_excused],
            [start for start, is_excused in report.starts.items() if is_excused],
        ]
        for report in reports
    ]
    return instance_messages.encode_message(KIND, items)


def decode_reports(items: list) -> list[CrashReport]:
    """Returns the reports in a message.

    :raises errors.ProtocolError: if the items are no valid reports.
    """
    try:
        return [_read_report(item) for item in items[0][:RECORDS_MAX]]
    except (ValueError, TypeError, IndexError, OverflowError) as error:
        raise errors.ProtocolError(f"invalid reports of crashes: {error!r}") from error


def _read_report(item: list) -> CrashReport:
    digest, age_ms, counted, excused = item[:4]
    if not isinstance(digest, bytes) or len(digest) != DIGEST_BYTES:
        raise ValueError(f"got digest {digest!r}, expected {DIGEST_BYTES} bytes")
    if len(counted) + len(excused) > STARTS_MAX:
        raise ValueError(f"got {len(counted)} and {len(excused)} starts, expected {STARTS_MAX}")
    starts = {int(start): False for start in counted} | {int(start): True for start in excused}
    return CrashReport(ids.RequestDigest(digest), starts, max(0, int(age_ms)) / 1000)
