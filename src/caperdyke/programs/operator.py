"""``caperdyke``: command line interface for operators."""

import argparse
import asyncio
import dataclasses
import difflib
import json
import pathlib
import sys
import time
import uuid

import caperdyke
from caperdyke import errors
from caperdyke.programs import common
from caperdyke.protocol import documents
from caperdyke.state import ids
from caperdyke.transport.http import http_client
from caperdyke.transport.store import change_writer, platform_client

EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
APPLY_TIMEOUT_S = 15.0
# Largest answer that is read, in bytes.
ANSWER_MAX_BYTES = 64 * 1024 * 1024
CALL_TIMEOUT_S = 5.0
DEFAULT_PLATFORM = "127.0.0.1:7000"
DEFAULT_ENTRY = "127.0.0.1:7100"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a command.

    :param text: human-readable output.
    :param data: the same as JSON data.
    """

    text: str
    data: dict
    status: int = common.EXIT_OK


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="caperdyke",
        description="Accepts contracts and places, announces drains and explains decisions.",
        epilog="exit status: 0 done, 1 failed, 2 bad usage or document, 3 refused, 4 unknown",
    )
    parser.add_argument("--version", action="version", version=caperdyke.__version__)
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="check documents without a platform")
    check.add_argument("files", nargs="+")
    check.set_defaults(run=_check)
    _add_apply(commands)
    diff = commands.add_parser("diff", help="compare a document with the accepted one")
    diff.add_argument("file")
    diff.add_argument("--platform", default=DEFAULT_PLATFORM)
    diff.set_defaults(run=_diff)
    history = commands.add_parser("history", help="list accepted changes, the newest first")
    history.add_argument("--platform", default=DEFAULT_PLATFORM)
    history.add_argument("--count", type=int, default=20)
    history.set_defaults(run=_list_history)
    _add_drain(commands)
    status = commands.add_parser("status", help="show the state of an entry instance")
    status.add_argument("--entry", default=DEFAULT_ENTRY)
    status.set_defaults(run=_show_status)
    explain = commands.add_parser("explain", help="show how a request was handled")
    explain.add_argument("request", help="value of the Caperdyke-Request header")
    explain.add_argument("--entry", default=DEFAULT_ENTRY)
    explain.set_defaults(run=_explain)
    return parser


def _add_apply(commands) -> None:
    apply = commands.add_parser("apply", help="propose a document for acceptance")
    apply.add_argument("file")
    apply.add_argument("--operator", required=True, help="operator who proposes it")
    apply.add_argument("--platform", default=DEFAULT_PLATFORM)
    apply.add_argument("--base", type=int, help="revision of the document that was edited")
    apply.add_argument("--change-id", help="id of an earlier attempt with unknown outcome")
    apply.set_defaults(run=_apply)


def _add_drain(commands) -> None:
    drain = commands.add_parser("drain", help="announce, cancel or show planned drains")
    actions = drain.add_subparsers(dest="action", required=True)
    for action in ("announce", "cancel"):
        parser = actions.add_parser(action)
        parser.add_argument("subject", help="failure domain or backend server")
        parser.add_argument("--entry", default=DEFAULT_ENTRY)
        parser.set_defaults(run=_change_drain)
    show = actions.add_parser("show")
    show.add_argument("--entry", default=DEFAULT_ENTRY)
    show.set_defaults(run=_show_drains)


async def _check(arguments: argparse.Namespace) -> Result:
    checked = []
    for file in arguments.files:
        name, _ = documents.parse_document(file, _read_text(file))
        checked.append({"file": file, "document": str(name)})
    lines = [f"{item['file']}: ok, {item['document']}" for item in checked]
    return Result("\n".join(lines), {"checked": checked})


async def _apply(arguments: argparse.Namespace) -> Result:
    text = _read_text(arguments.file)
    documents.parse_document(arguments.file, text)
    draft = change_writer.Draft(
        ids.ChangeId(arguments.change_id or str(uuid.uuid4())),
        ids.OperatorName(arguments.operator),
        arguments.file,
        text,
        None if arguments.base is None else ids.Revision(arguments.base),
    )
    accepted = await _make_writer(arguments).apply(draft, time.time() + APPLY_TIMEOUT_S)
    wait = max(0.0, accepted.in_force_by - time.time())
    return Result(
        f"accepted as revision {accepted.revision}; in force everywhere in {wait:.1f} s",
        {"revision": accepted.revision, "in_force_by": accepted.in_force_by},
    )


async def _diff(arguments: argparse.Namespace) -> Result:
    text = _read_text(arguments.file)
    name, _ = documents.parse_document(arguments.file, text)
    current, _ = await _make_writer(arguments).read_current()
    before = current.texts.get(name, "")
    revision = current.text_revisions.get(name, 0)
    lines = difflib.unified_diff(
        before.splitlines(), text.splitlines(), f"revision {revision}", arguments.file, lineterm=""
    )
    difference = "\n".join(lines)
    data = {"document": str(name), "revision": revision, "diff": difference}
    return Result(difference or "no difference", data)


async def _list_history(arguments: argparse.Namespace) -> Result:
    changes = await _make_writer(arguments).read_history(arguments.count)
    rows = [
        {
            "revision": change.revision,
            "operator": change.operator,
            "document": str(change.name),
            "accepted_at": change.accepted_at,
            "in_force_at": change.in_force_at,
            "change_id": change.change_id,
        }
        for change in changes
    ]
    lines = [
        f"{row['revision']:>6}  {_format_time(row['accepted_at'])}  {row['operator']:<14}"
        f" {row['document']}"
        for row in rows
    ]
    return Result("\n".join(lines) or "no changes", {"changes": rows})


async def _change_drain(arguments: argparse.Namespace) -> Result:
    body = {"subject": arguments.subject, "active": arguments.action == "announce"}
    data = await _call_entry(arguments.entry, "POST", "/drains", body)
    state_text = "announced" if data["active"] else "cancelled"
    return Result(f"drain of {data['subject']} {state_text}", data)


async def _show_drains(arguments: argparse.Namespace) -> Result:
    data = await _call_entry(arguments.entry, "GET", "/drains")
    lines = [
        f"{item['subject']:<28} {'draining' if item['active'] else 'cancelled'}"
        for item in data["drains"]
    ]
    lines += [f"{item['backend']:<28} {item['in_flight']} in flight" for item in data["leaving"]]
    return Result("\n".join(lines) or "no drains", data)


async def _show_status(arguments: argparse.Namespace) -> Result:
    data = await _call_entry(arguments.entry, "GET", "/status")
    lines = [
        f"instance {data['instance']} in {data['failure_domain']}: {data['state']},"
        f" {'ready' if data['is_ready'] else 'not ready'}",
        f"revision {data['revision']} ({'current' if data['is_current'] else 'at floors'}),"
        f" {len(data['slices'])} slices, {data['active_requests']} requests",
    ]
    for customer, limits in data["limits"].items():
        lines.append(
            f"  {customer}: {limits['used']}/{limits['share']} starts a period,"
            f" shift {limits['shift']}, step {limits['step']}"
        )
    for item in data["backends"]:
        lines.append(
            f"  {item['backend']:<24} {item['state']:<8} {item['in_flight']}/{item['owned_slots']}"
            f" slots, {item['latency_ms']} ms"
        )
    for item in data["members"]:
        usable = "usable" if item["is_usable"] else "not usable"
        lines.append(
            f"  {item['instance']:<24} {item['failure_domain']:<16} {item['state']:<8} {usable}"
        )
    return Result("\n".join(lines), data)


async def _explain(arguments: argparse.Namespace) -> Result:
    data = await _call_entry(arguments.entry, "GET", f"/explain/{arguments.request}")
    lines = [f"request {data['request']}: {data['customer']} {data['service']}"]
    lines += [f"  {step}" for step in data["steps"]]
    return Result("\n".join(lines), data)


def _make_writer(arguments: argparse.Namespace) -> change_writer.ChangeWriter:
    platform = platform_client.PlatformClient(ids.Address(arguments.platform))
    return change_writer.ChangeWriter(platform, time.time)


async def _call_entry(address: str, method: str, path: str, body: dict | None = None) -> dict:
    client = http_client.HttpClient(1, CALL_TIMEOUT_S)
    data = json.dumps(body).encode() if body is not None else None
    response, answer = await client.fetch(
        http_client.Exchange(),
        method,
        address,
        path,
        [],
        data,
        CALL_TIMEOUT_S,
        ANSWER_MAX_BYTES,
    )
    await client.close()
    content = json.loads(answer)
    if response.status_code != 200:
        raise errors.CaperdykeError(content.get("error", f"status {response.status_code}"))
    return content


def _read_text(file: str) -> str:
    try:
        return pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(file, "", "", str(error), "a readable file") from error


def _format_time(moment: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(moment))


async def _run(arguments: argparse.Namespace) -> Result:
    try:
        return await arguments.run(arguments)
    except errors.SettingsError as error:
        return _make_failure(str(error), common.EXIT_USAGE)
    except errors.ProposalError as error:
        text = "refused:\n" + "\n".join(f"- {problem}" for problem in error.problems)
        return Result(text, {"refused": error.problems}, EXIT_REFUSED)
    except errors.OutcomeUnknownError as error:
        return _make_failure(str(error), EXIT_UNKNOWN)
    except (ValueError, errors.CaperdykeError, *http_client.FAILURES) as error:
        return _make_failure(str(error) or repr(error), common.EXIT_FAILED)


def _make_failure(text: str, status: int) -> Result:
    return Result(text, {"error": text}, status)


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    parsed = make_parser().parse_args(arguments)
    result = asyncio.run(_run(parsed))
    stream = sys.stdout if result.status == common.EXIT_OK else sys.stderr
    print(json.dumps(result.data) if parsed.json else result.text, file=stream)
    return result.status


if __name__ == "__main__":
    sys.exit(main())
