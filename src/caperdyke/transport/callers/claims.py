"""Binds keys that callers choose themselves to request keys, in the platform's table."""

import hashlib

from caperdyke import errors
from caperdyke.protocol import keytext, records
from caperdyke.state import ids, keys, outcome, timing
from caperdyke.transport import context

TOKEN_MAX = 200


class KeyClaims:
    """Claims caller-chosen keys by inserting a row if it is absent."""

    def __init__(self, node: context.NodeContext) -> None:
        self._node = node

    async def claim(
        self,
        customer: ids.CustomerName,
        service: ids.ServiceName,
        token: str,
        home: ids.DomainName,
    ) -> keys.RequestKey:
        """Returns the request key that the caller's key is bound to.

        The first claim wins. Where the answer to the write is lost, reading the row back tells
        whose claim it is, so a lost answer never leads to two keys.

        :raises errors.RefusalError: where the platform cannot tell; the request did not run.
        """
        node = self._node
        now = node.clock()
        if not token or len(token) > TOKEN_MAX:
            detail = f"Idempotency-Key of {len(token)} characters, expected 1 to {TOKEN_MAX}"
            raise errors.RefusalError(outcome.refuse(outcome.Reason.KEY_MALFORMED, detail=detail))
        digest = hashlib.sha256(token.encode()).hexdigest()
        row_key = records.make_claim_key(customer, service, digest)
        key = node.make_key(home, now + timing.KEY_TTL_SECONDS)
        try:
            await node.platform.transact({row_key: 0}, {row_key: keytext.format_key(key).encode()})
            return key
        except (errors.VersionConflictError, errors.OutcomeUnknownError):
            return await self._read_back(row_key)
        except errors.PlatformUnavailableError as error:
            raise _refuse(now) from error

    async def _read_back(self, row_key: str) -> keys.RequestKey:
        now = self._node.clock()
        try:
            rows = await self._node.platform.read([row_key])
        except errors.PlatformError as error:
            raise _refuse(now) from error
        row = rows[row_key]
        key = keytext.parse_key(row.value.decode()) if row.version else None
        if key is None:
            # The lost write may still arrive; the caller's next try settles it.
            raise _refuse(now)
        return key


def _refuse(now: float) -> errors.RefusalError:
    return errors.RefusalError(outcome.refuse(outcome.Reason.PLATFORM_AWAY, now + 2.0))
