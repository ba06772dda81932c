"""HTTP clients that read and write blocks at engines and store instances."""

from collections.abc import Mapping

import httpcore
import trio

from masticdrum.shell.blocktransfer import BlockNotFound, StoreFull, TransferFailed

CALL_TIMEOUT_S = 5.0
STATUS_NOT_FOUND = 404
STATUS_FULL = 507
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    OSError,
)


async def call_http(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    content: bytes | None = None,
    headers: Mapping[bytes | str, bytes | str] | None = None,
) -> bytes:
    """Make one call within ``CALL_TIMEOUT_S``; return the body of its 2xx answer."""
    body = b""
    status = 0
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            response = await pool.request(
                method, url, content=content, headers=headers or {}
            )
            body = response.content
            status = response.status
    except (*CONNECTION_ERRORS, trio.TooSlowError) as error:
        raise TransferFailed(f"{method} {url}: {error!r}") from error
    if status == STATUS_NOT_FOUND:
        raise BlockNotFound(f"{method} {url}: not found")
    if status == STATUS_FULL:
        raise StoreFull(f"{method} {url}: full")
    if not 200 <= status < 300:
        raise TransferFailed(f"{method} {url}: status {status}")
    return body


class HttpStoreBlocks:
    """The blocks of store instances over HTTP."""

    def __init__(self, pool: httpcore.AsyncConnectionPool) -> None:
        self._pool = pool

    async def lease(self, store: str, key: str, holder: str, for_s: float) -> None:
        """Pin a block against eviction."""
        url = f"{store}/blocks/{key}/lease?holder={holder}&for={for_s}"
        await call_http(self._pool, "POST", url)

    async def release(self, store: str, key: str, holder: str) -> None:
        """Release a lease."""
        url = f"{store}/blocks/{key}/lease?holder={holder}"
        await call_http(self._pool, "DELETE", url)

    async def read(self, store: str, key: str) -> bytes:
        """Return a block's frame."""
        return await call_http(self._pool, "GET", f"{store}/blocks/{key}")

    async def write(self, store: str, key: str, part: str, frame: bytes) -> None:
        """Write a frame under the temporary name ``part``."""
        url = f"{store}/blocks/{key}?part={part}"
        await call_http(self._pool, "PUT", url, frame)

    async def commit(self, store: str, key: str, part: str) -> None:
        """Make the written frame readable."""
        url = f"{store}/blocks/{key}?part={part}"
        await call_http(self._pool, "POST", url)


class HttpEngineBlocks:
    """The blocks of one engine over HTTP; ``url`` is the engine's base URL."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, url: str) -> None:
        self._pool = pool
        self._url = url

    async def export_block(self, key: str) -> bytes:
        """Return a block's payload."""
        return await call_http(self._pool, "GET", f"{self._url}/blocks/{key}")

    async def import_block(self, key: str, version: str, payload: bytes) -> None:
        """Send a block to the engine."""
        url = f"{self._url}/blocks/{key}"
        headers: dict[bytes | str, bytes | str] = {"Weight-Version": version}
        await call_http(self._pool, "PUT", url, payload, headers)
