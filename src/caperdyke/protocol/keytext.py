"""Text form of request keys, as exchanged between callers and instances."""

import re

from caperdyke.state import ids, keys, lease

_KEY_PATTERN = re.compile(
    r"k1\.(?P<instance>[A-Za-z0-9_-]{1,64})\.(?P<incarnation>[0-9]{1,15})\.(?P<sequence>[0-9]{1,15})"
    r"\.(?P<home>[A-Za-z0-9_-]{1,64})\.(?P<expires>[0-9]{1,15})"
)


def format_key(key: keys.RequestKey) -> str:
    """Returns the text form of a request key."""
    owner = key.owner
    return f"k1.{owner.instance}.{owner.incarnation}.{key.sequence}.{key.home}.{key.expires_at}"


def parse_key(text: str) -> keys.RequestKey | None:
    """Returns the request key in a text, or None if the text is malformed."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    owner = lease.Holder(
        ids.InstanceId(match["instance"]), ids.Incarnation(int(match["incarnation"]))
    )
    return keys.RequestKey(
        owner, int(match["sequence"]), ids.DomainName(match["home"]), int(match["expires"])
    )
