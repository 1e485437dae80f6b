"""HTTP client of the platform's store, which keeps records in topics."""

import base64
import struct
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, NamedTuple

import aiohttp

from camphorlink.internal.shell.connection.http_owner import HttpOwner
from camphorlink.internal.shell.ports import (
    AppendId,
    KeyedRecord,
    LogPage,
)
from camphorlink.platform.documents import (
    decode_document,
    read_text,
    read_whole,
)
from camphorlink.store_errors import (
    StoreError,
    StoreRefusedError,
    StoreTrimmedError,
    StoreUnansweredError,
)

#: The only partition that is used of each topic.
PARTITION = '0'
#: Default timeout of a call, in seconds; each call sets a shorter one.
CALL_TIMEOUT_S = 35.0
_LENGTH = struct.Struct('>I')
_BOUNDS = struct.Struct('>QQ')
#: Statuses that mean that the store did nothing.
_REFUSALS = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)
#: Errors of reading a field of an answer that has another form.
_FIELD_ERRORS = (AttributeError, LookupError, TypeError, ValueError)
_CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class StoreClient(HttpOwner):
    """HTTP client of the store; implements ``LogPort``."""

    timeout_s = CALL_TIMEOUT_S

    def __init__(self, address: str) -> None:
        """Initializes the client with the store's IP address and port."""
        self._base = f'http://{address}'

    async def append(
        self,
        topic: str,
        records: Sequence[bytes],
        timeout_s: float,
        append_id: AppendId | None = None,
    ) -> int:
        """Appends records atomically; returns the offset of the first."""
        query = {'topic': topic, 'part': PARTITION}
        if append_id is not None:
            query['producer'] = append_id.producer
            query['epoch'] = str(append_id.epoch)
            query['sequence'] = str(append_id.sequence)
        body = b''.join(
            _LENGTH.pack(len(record)) + record for record in records
        )
        status, answer = await self._post('log-append', query, body, timeout_s)
        if status == HTTPStatus.OK:
            return _read_whole_field(answer, 'offset')
        raise StoreUnansweredError(
            f'append answered {status}: {answer[:200]!r}'
        )

    async def read(
        self,
        topic: str,
        offset: int,
        timeout_s: float,
        wait_s: float = 0,
    ) -> LogPage:
        """Reads records from an offset, waiting for the first if requested."""
        query = {'topic': topic, 'part': PARTITION, 'from': str(offset)}
        if wait_s:
            query['wait_ms'] = str(int(wait_s * 1000))
        status, body = await self._get('log-read', query, timeout_s)
        if status == HTTPStatus.GONE:
            raise StoreTrimmedError(_read_whole_field(body, 'first_offset'))
        if status != HTTPStatus.OK:
            raise StoreError(f'read answered {status}: {body[:200]!r}')
        return _read_page(body)

    async def read_newest(
        self,
        topic: str,
        timeout_s: float,
    ) -> tuple[list[KeyedRecord], int]:
        """Returns the newest record of each key and the topic's end offset.

        The end offset is that of the first page, so that a caller which reads
        on from there sees the changes made between the pages.
        """
        items: list[KeyedRecord] = []
        query = {'topic': topic, 'part': PARTITION}
        end_offset: int | None = None
        has_more = True
        while has_more:
            status, body = await self._get('log-newest', query, timeout_s)
            if status != HTTPStatus.OK:
                raise StoreError(f'newest answered {status}: {body[:200]!r}')
            page = _read_newest(body)
            items.extend(page.items)
            end_offset = page.end_offset if end_offset is None else end_offset
            has_more = page.has_more and bool(page.items)
            if has_more:
                query['after'] = items[-1].key
        return items, end_offset or 0

    def encode_keyed(self, key: str, content: bytes) -> bytes:
        """Encodes a record that sets a key; empty content deletes the key."""
        encoded = key.encode()
        return bytes((len(encoded),)) + encoded + content

    async def _post(
        self,
        call_name: str,
        query: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        try:
            async with self._session.post(
                f'{self._base}/v1/{call_name}',
                params=query,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                answer = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as exc:
            raise StoreRefusedError(f'{call_name}: {exc!r}') from exc
        except _CALL_ERRORS as exc:
            raise StoreUnansweredError(f'{call_name}: {exc!r}') from exc
        if status in _REFUSALS:
            raise StoreRefusedError(f'{call_name} answered {status}')
        return status, answer

    async def _get(
        self,
        call_name: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> tuple[int, bytes]:
        try:
            async with self._session.get(
                f'{self._base}/v1/{call_name}',
                params=query,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status, await response.read()
        except _CALL_ERRORS as exc:
            raise StoreUnansweredError(f'{call_name}: {exc!r}') from exc


def decode_keyed(record: bytes) -> KeyedRecord | None:
    """Decodes a record of a keyed topic, or returns ``None``."""
    if not record or len(record) < 1 + record[0]:
        return None
    key_end = 1 + record[0]
    try:
        return KeyedRecord(record[1:key_end].decode(), record[key_end:])
    except UnicodeDecodeError:
        return None


class _NewestPage(NamedTuple):
    items: list[KeyedRecord]
    end_offset: int
    has_more: bool


def _read_newest(body: bytes) -> _NewestPage:
    page = _decode_json(body)
    try:
        return _NewestPage(
            [
                KeyedRecord(
                    read_text(entry, 'key'),
                    base64.b64decode(read_text(entry, 'value')),
                )
                for entry in page['items']
            ],
            read_whole(page, 'end_offset'),
            bool(page.get('has_more')),
        )
    except _FIELD_ERRORS as exc:
        raise StoreError(
            f'newest answered with invalid items: {exc!r}'
        ) from exc


def _read_page(body: bytes) -> LogPage:
    if len(body) < _BOUNDS.size:
        raise StoreError(f'read answered with only {len(body)} bytes')
    end_offset, _ = _BOUNDS.unpack_from(body)
    records: list[bytes] = []
    position = _BOUNDS.size
    while position + _LENGTH.size <= len(body):
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    if position != len(body):
        raise StoreError('read answered with a truncated record')
    return LogPage(tuple(records), end_offset)


def _decode_json(body: bytes) -> Any:
    try:
        return decode_document(body)
    except ValueError as exc:
        raise StoreUnansweredError(f'answer is not valid JSON: {exc}') from exc


def _read_whole_field(body: bytes, name: str) -> int:
    document = _decode_json(body)
    try:
        return read_whole(document, name)
    except _FIELD_ERRORS as exc:
        raise StoreUnansweredError(
            f'answer has no offset {name}: {body[:200]!r}'
        ) from exc
