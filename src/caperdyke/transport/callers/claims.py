"""Binds caller-chosen idempotency keys to request keys in the platform's table."""

import hashlib

from caperdyke import errors
from caperdyke.protocol import keytext, records
from caperdyke.state import ids, keys, outcome, timing
from caperdyke.transport import context

TOKEN_MAX_CHARACTERS = 200


class KeyClaims:
    """Claims caller-chosen keys by inserting a row if there is none."""

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

        The first claim wins. If the response to the write is lost, the row is read back to find
        the winning claim, so a lost response never leads to two keys.

        :raises errors.RefusalError: if the caller's key is malformed, or the platform does not
            confirm the claim; the request did not run.
        """
        node = self._node
        now = node.clock()
        if not token or len(token) > TOKEN_MAX_CHARACTERS:
            detail = (
                f"Idempotency-Key of {len(token)} characters, expected 1 to {TOKEN_MAX_CHARACTERS}"
            )
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
            raise _make_unavailable_error(now) from error

    async def _read_back(self, row_key: str) -> keys.RequestKey:
        now = self._node.clock()
        try:
            rows = await self._node.platform.read([row_key])
        except errors.PlatformError as error:
            raise _make_unavailable_error(now) from error
        row = rows[row_key]
        key = keytext.parse_key(row.value.decode()) if row.version else None
        if key is None:
            # The write may still take effect; the caller's next attempt finds out.
            raise _make_unavailable_error(now)
        return key


def _make_unavailable_error(now: float) -> errors.RefusalError:
    return errors.RefusalError(outcome.refuse(outcome.Reason.PLATFORM_AWAY, now + 2.0))
