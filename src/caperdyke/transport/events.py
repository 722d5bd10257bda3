"""Numbered log events; docs/EVENTS.md is the catalogue."""

import enum
import json
import logging
import sys

import loguru

from caperdyke.state import settings
from caperdyke.transport import log_sink

# loguru's number of level WARNING; the rate limit applies only to lines below it.
WARNING_LEVEL = 30
_SINK = log_sink.LineSink(sys.stdout)


class Event(enum.Enum):
    """Log events, each with its number, its level and the template of its message."""

    STARTED = (1001, "INFO", "{program} started at {address}")
    READY = (1002, "INFO", "instance is ready with revision {revision}")
    STOPPING = (1003, "INFO", "graceful shutdown started; deadline {deadline}")
    STOPPED = (1004, "INFO", "stopped with {unfinished} unfinished requests")
    TASK_FAILED = (1005, "ERROR", "task {task} failed and will be restarted: {error}")
    LINES_LEFT_OUT = (1006, "INFO", "{count} log lines were dropped")
    LIBRARY_MESSAGE = (1007, "INFO", "{library}: {text}")
    LINK_OPENED = (2001, "INFO", "link to {peer} opened")
    LINK_CLOSED = (2002, "INFO", "link to {peer} closed: {cause}")
    FRAME_REJECTED = (2003, "WARNING", "invalid frame from {peer}; link closed: {error}")
    PEER_LOST = (2004, "WARNING", "no message from peer {peer} in time; it gets no new requests")
    HANDOVER_DONE = (2005, "INFO", "{count} key records handed over to {successor}")
    HANDOVER_FAILED = (2006, "ERROR", "key records could not be handed over: {error}")
    ADOPTED_KEYS = (2007, "INFO", "took over {count} key records of {owner}")
    CONFIGURATION_ADOPTED = (3001, "INFO", "adopted revision {revision}, in force at {in_force_at}")
    CONFIGURATION_STALE = (
        3002,
        "WARNING",
        "configuration not confirmed in time; limits drop to floors",
    )
    CONFIGURATION_CURRENT = (3003, "INFO", "revision {revision} confirmed; full limits apply")
    CONFIGURATION_BROKEN = (3004, "ERROR", "configuration is invalid: {error}")
    LEASE_CHANGED = (3101, "INFO", "lease row {version}: this instance holds {slices} slices")
    LEASE_WRITE_LOST = (3102, "WARNING", "lease row not written, or write not confirmed: {error}")
    PLATFORM_AWAY = (3201, "WARNING", "platform is unavailable: {error}")
    PLATFORM_BACK = (3202, "INFO", "platform is available again")
    BACKEND_LEAVING = (4001, "INFO", "backend server {backend} is leaving, detected by {sign}")
    BACKEND_BACK = (4002, "INFO", "backend server {backend} may get requests again")
    BACKEND_EJECTED = (4003, "WARNING", "backend server {backend} ejected after failures")
    DRAIN_ANNOUNCED = (4004, "INFO", "drain of {subject}: active {active}, version {version}")
    REQUEST_REFUSED = (5001, "DEBUG", "request {request}: {outcome}, {reason} {detail}")
    REQUEST_FAILED = (5002, "ERROR", "request {request} failed with an internal error: {error}")
    ANSWER_CUT = (5003, "WARNING", "answer to request {request} ended early: {error}")
    REQUEST_ENDED = (5101, "INFO", "request {request}: {status} after {took_ms} ms, {outcome}")
    SLOW_HEAD = (5102, "INFO", "request head from {caller} incomplete after {seconds} s")
    RESPONSE_UNDELIVERED = (
        5103,
        "INFO",
        "connection to {caller} ended with {size} bytes of responses not received: {cause}; "
        "requests {requests}",
    )
    MESSAGE_REFUSED = (5104, "INFO", "message from {caller} is not read on: {cause}")
    CONNECTION_ENDED = (5105, "INFO", "connection to {caller} ended at once: {cause}")
    SETTINGS_RELOADED = (6001, "INFO", "settings reloaded: {result}")
    STORE_AWAY = (6101, "WARNING", "store is unavailable for {table}: {error}")
    STORE_BACK = (6102, "INFO", "store is available again for {table} after {away_s} s")
    HISTORY_LOST = (
        6103,
        "INFO",
        "store no longer has the changes of {table} after {position}; reading the whole table",
    )
    ROW_UNREADABLE = (6104, "WARNING", "row {key} of {table} is invalid and skipped: {error}")
    ROW_LEFT = (6105, "INFO", "row {key} of {table} could not be removed: {error}")
    READING_STALE = (
        6106,
        "INFO",
        "reading of {table} at {position} discarded; not newer than {known}",
    )
    ERA_CHANGED = (
        6107,
        "WARNING",
        "store was restored from an older copy; {table} is now in era {era}",
    )
    ROWS_HEARD = (
        6108,
        "INFO",
        "received {count} rows of {table} from {previous} up to {position} from {peer}",
    )
    STORE_CALL_ENDED = (
        6109,
        "INFO",
        "store call for {table} with a wait of {wait_ms} ms ended after {took_ms} ms: "
        "{outcome} {detail}",
    )
    INSTANCE_AHEAD = (
        6110,
        "INFO",
        "{instance} has {table} up to {theirs}, this instance up to {own}; polling the store",
    )
    CONFIGURATION_KNOWN = (
        6111,
        "INFO",
        "configuration {version} is in force, adopted from {source} {adopted_ms} ms ago",
    )
    POSITION_ADVANCED = (
        6112,
        "DEBUG",
        "{table} advanced from {previous} to {position} as {instance} found no change since "
        "{changed}",
    )
    STORE_OUTAGE_ENDED = (
        6113,
        "INFO",
        "store may have been unavailable for {seconds} s; registrations may have lapsed: "
        "{may_have_lapsed}",
    )
    PAUSE_ENDED = (6114, "WARNING", "this instance did not run for {seconds} s")
    ROUTES_ADOPTED = (6201, "INFO", "configuration {version} is in force, {routes} routes")
    TEAM_INVALID = (6601, "ERROR", "configuration {version}: {fault}")
    TEAM_OVER_QUOTA = (
        6602,
        "INFO",
        "team {team} is over its quota of {rate} requests/s and a burst of {burst}: "
        "{rejected} rejected",
    )
    SERVER_ENDED = (
        6701,
        "WARNING",
        "backend server {backend} ended under request {digest}, {count} under it so far",
    )
    REQUEST_BLOCKED = (
        6702,
        "ERROR",
        "request {digest} is rejected: {count} backend servers ended under it: {servers}",
    )
    SERVER_CHANGED = (6202, "INFO", "backend server {backend} of {service}: {change}")
    SERVER_REMOVED = (
        6204,
        "INFO",
        "backend server {backend} of {service}: removed up to {position}, heard from {source}; "
        "registered {registered_ms} ms ago, last request {last_request_ms} ms ago, "
        "held for {held_ms} ms",
    )
    SERVER_RELEASED = (
        6205,
        "INFO",
        "backend server {backend} is no longer held; last request {last_request_ms} ms ago",
    )
    EVACUATION_CHANGED = (6203, "INFO", "evacuated failure domains: {domains}")
    PATH_LOST = (
        6501,
        "WARNING",
        "no connection to any backend server can be opened; relaying through {relays} instances",
    )
    PATH_RESTORED = (6502, "INFO", "connections to backend servers open again after {lost_s} s")
    RELAY_REFUSED = (6503, "WARNING", "relayed request from {peer} refused: {cause}")
    INSTANCE_CHANGED = (6301, "INFO", "instance {instance} in {domain}: {change}")
    SERVER_AVOIDED = (6401, "INFO", "backend server {backend} is avoided: {cause}")
    LIMIT_NAMED = (
        6403,
        "INFO",
        "backend server {backend} advertises a limit of {per_second} requests/s",
    )
    LIMIT_ENDED = (6404, "INFO", "backend server {backend} no longer advertises a limit")
    LIMIT_UNREADABLE = (
        6405,
        "WARNING",
        "limit advertised by backend server {backend} is not a number: {text}",
    )
    SERVER_LEAVING = (6406, "INFO", "backend server {backend} announces that it is leaving")
    SERVER_RESTS = (6407, "INFO", "backend server {backend} requests a backoff of {seconds} s")
    REST_UNREADABLE = (
        6408,
        "WARNING",
        "backoff requested by backend server {backend} is not a time: {text}",
    )
    HEADER_SEEN = (6402, "INFO", "first answer with header {header}: {value}, from {backend}")

    @property
    def number(self) -> int:
        """Number in the catalogue."""
        return self.value[0]


class _LibraryHandler(logging.Handler):
    """Turns messages of libraries into events, which would be text between the JSON lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a message, and the error that it reports."""
        error = repr(record.exc_info[1]) if record.exc_info else None
        text = record.getMessage().strip()
        log(Event.LIBRARY_MESSAGE, library=record.name, text=text, error=error)


def configure(log_settings: settings.LogSettings) -> None:
    """Sends log events to standard output as JSON, or to standard error as text."""
    loguru.logger.remove()
    if log_settings.format is settings.LogFormat.JSON:
        _SINK.set_nonblocking()
        loguru.logger.add(_write_json, level=log_settings.level)
        logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
        return
    line_format = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[event]} {message}"
    loguru.logger.add(sys.stderr, level=log_settings.level, format=line_format)


def log(event: Event, **fields) -> None:
    """Logs one event.

    :param fields: values for the message template; also written as fields of the line.
    """
    number, level, template = event.value
    bound_logger = loguru.logger.bind(event=number, name=event.name, fields=fields)
    bound_logger.log(level, template.format(**fields).replace("{", "{{").replace("}", "}}"))


def _write_json(message) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["extra"].get("event"),
        "name": record["extra"].get("name"),
        "message": record["message"],
        "fields": record["extra"].get("fields", {}),
    }
    _SINK.write(json.dumps(line, default=str), record["level"].no >= WARNING_LEVEL)
