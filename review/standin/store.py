"""Stand-in of the platform's store: topics, keyed topics and their limits.

Follows the section on the metadata store of PROTOCOL.md for the calls that the
system makes: ``log-append``, ``log-read``, ``log-newest`` and ``log-trim``.
Operators and runners write through ``/standin/publish``.
"""

import argparse
import asyncio
import base64
import collections
import json
import struct
import time

from aiohttp import web

LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PARTITION_BYTES_PER_S = 20_000_000
APPEND_S = 0.001
#: Rest of the 4 ms that an answer takes.
ANSWER_S = 0.003
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
KEPT_ANSWERS = 5
SWEEP_PERIOD_S = 0.25
HEARTBEAT_S = 1.5
LOST_HEARTBEATS = 3
PLATFORM_TOPICS = frozenset(('keyed.op', 'keyed.servers'))


def is_keyed(topic):
    return topic.startswith('keyed.')


def split_keyed(record):
    key_end = 1 + record[0]
    return record[1:key_end].decode(), record[key_end:]


class Partition:
    """Records of the only partition of a topic."""

    def __init__(self, topic):
        self.topic = topic
        self.first_offset = 0
        self.records = collections.deque()
        self.newest_by_key = {}
        self.appended = asyncio.Event()
        self.lock = asyncio.Lock()
        self.sequence_by_producer = {}
        self.answers_by_producer = collections.defaultdict(dict)

    @property
    def end_offset(self):
        return self.first_offset + len(self.records)

    def add(self, bodies):
        offset = self.end_offset
        for number, body in enumerate(bodies):
            self.records.append((time.monotonic(), body))
            if is_keyed(self.topic):
                key, content = split_keyed(body)
                self.newest_by_key.pop(key, None)
                if content:
                    self.newest_by_key[key] = (offset + number, content)
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()
        return {'offset': offset, 'end_offset': self.end_offset}

    def expire(self, before_s):
        while self.records and self.records[0][0] < before_s:
            self.records.popleft()
            self.first_offset += 1

    def trim(self, before_offset):
        while self.records and self.first_offset < before_offset:
            self.records.popleft()
            self.first_offset += 1


class Store:
    """The store; ``is_busy`` makes it refuse each call with status 503."""

    def __init__(self, keep_s):
        self.keep_s = keep_s
        self.is_busy = False
        self.partition_by_topic = {}
        self.seen_s_by_runner = {}
        self.refused_sizes = []

    def partition(self, topic):
        if topic not in self.partition_by_topic:
            self.partition_by_topic[topic] = Partition(topic)
        return self.partition_by_topic[topic]

    async def append(self, request):
        query = request.query
        if query['topic'] in PLATFORM_TOPICS:
            return web.json_response({}, status=403)
        body = await request.read()
        bodies = decode_records(body)
        size = sum(map(len, bodies))
        largest = max(map(len, bodies), default=0)
        if size > CALL_BYTES or largest > RECORD_BYTES:
            self.refused_sizes.append([query['topic'], len(bodies), size])
            return web.json_response({'error': 'too large'}, status=400)
        partition = self.partition(query['topic'])
        async with partition.lock:
            await asyncio.sleep(APPEND_S + size / PARTITION_BYTES_PER_S)
            status, answer = self.append_now(partition, query, bodies)
        await asyncio.sleep(ANSWER_S)
        return web.json_response(answer, status=status)

    def append_now(self, partition, query, bodies):
        if 'at' in query and int(query['at']) != partition.end_offset:
            return 412, {'end_offset': partition.end_offset}
        if 'producer' not in query:
            return 200, partition.add(bodies)
        producer = query['producer']
        epoch, sequence = int(query['epoch']), int(query['sequence'])
        known_epoch, last = partition.sequence_by_producer.get(
            producer, (-1, None)
        )
        answers = partition.answers_by_producer[producer]
        if epoch < known_epoch:
            return 409, {'reason': 'fenced'}
        if epoch > known_epoch:
            answers.clear()
            last = None
        if sequence in answers:
            return 200, answers[sequence]
        if last is not None and sequence != last + 1:
            return 409, {'reason': 'seq', 'sequence': last + 1}
        partition.sequence_by_producer[producer] = (epoch, sequence)
        answers[sequence] = partition.add(bodies)
        answers.pop(sequence - KEPT_ANSWERS, None)
        return 200, answers[sequence]

    async def read(self, request):
        query = request.query
        partition = self.partition(query['topic'])
        offset = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        if offset >= partition.end_offset and wait_s:
            try:
                await asyncio.wait_for(partition.appended.wait(), wait_s)
            except TimeoutError:
                pass
        await asyncio.sleep(ANSWER_S)
        if self.is_busy:
            return web.json_response({}, status=503)
        if offset < partition.first_offset:
            answer = {'first_offset': partition.first_offset}
            return web.json_response(answer, status=410)
        left = int(query.get('max_kb', '1024')) * 1024
        parts = [BOUNDS.pack(partition.end_offset, partition.first_offset)]
        for index in range(
            offset - partition.first_offset, len(partition.records)
        ):
            body = partition.records[index][1]
            left -= LENGTH.size + len(body)
            if left < 0 and len(parts) > 1:
                break
            parts.append(LENGTH.pack(len(body)) + body)
        return web.Response(body=b''.join(parts))

    async def newest(self, request):
        partition = self.partition(request.query['topic'])
        await asyncio.sleep(ANSWER_S)
        after = request.query.get('after', '')
        items, size = [], 0
        keys = sorted(key for key in partition.newest_by_key if key > after)
        for key in keys:
            offset, content = partition.newest_by_key[key]
            size += len(content)
            if items and (len(items) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            value = base64.b64encode(content).decode()
            items.append({'key': key, 'value': value, 'offset': offset})
        return web.json_response(
            {
                'items': items,
                'has_more': len(items) < len(keys),
                'end_offset': partition.end_offset,
            }
        )

    async def trim(self, request):
        document = await request.json()
        self.partition(document['topic']).trim(int(document['before_offset']))
        return web.json_response({})

    # Calls of the operator, of runners and of the test.

    async def publish(self, request):
        document = await request.json()
        if self.is_busy:
            return web.json_response({}, status=503)
        topic, key = document['topic'], document['key'].encode()
        content = document['document']
        value = b'' if content is None else json.dumps(content).encode()
        self.partition(topic).add([bytes((len(key),)) + key + value])
        if topic == 'keyed.servers':
            self.seen_s_by_runner[document['key']] = time.monotonic()
            if content is None:
                self.seen_s_by_runner.pop(document['key'])
        return web.json_response({})

    async def set_mode(self, request):
        self.is_busy = (await request.json())['busy']
        if not self.is_busy:
            # Entries do not lapse because of the outage.
            now = time.monotonic()
            self.seen_s_by_runner = dict.fromkeys(self.seen_s_by_runner, now)
        return web.json_response({})

    async def show(self, request):
        return web.json_response(
            {
                'refused_sizes': self.refused_sizes,
                'bounds': {
                    topic: [partition.first_offset, partition.end_offset]
                    for topic, partition in self.partition_by_topic.items()
                },
            }
        )

    async def sweep_forever(self, app):
        while True:
            now = time.monotonic()
            for partition in self.partition_by_topic.values():
                partition.expire(now - self.keep_s)
            lost_s = now - LOST_HEARTBEATS * HEARTBEAT_S
            for runner, seen_s in list(self.seen_s_by_runner.items()):
                if seen_s < lost_s and not self.is_busy:
                    self.seen_s_by_runner.pop(runner)
                    key = runner.encode()
                    record = bytes((len(key),)) + key
                    self.partition('keyed.servers').add([record])
            await asyncio.sleep(SWEEP_PERIOD_S)

    @web.middleware
    async def refuse_while_busy(self, request, handler):
        if self.is_busy and request.path.startswith('/v1/'):
            await asyncio.sleep(ANSWER_S)
            return web.json_response({}, status=503)
        return await handler(request)

    def build_app(self):
        app = web.Application(
            client_max_size=8 * CALL_BYTES,
            middlewares=[self.refuse_while_busy],
        )
        app.add_routes(
            [
                web.post('/v1/log-append', self.append),
                web.get('/v1/log-read', self.read),
                web.get('/v1/log-newest', self.newest),
                web.post('/v1/log-trim', self.trim),
                web.post('/standin/publish', self.publish),
                web.post('/standin/mode', self.set_mode),
                web.get('/standin/state', self.show),
            ]
        )
        app.on_startup.append(self.start)
        return app

    async def start(self, app):
        self.sweeper = asyncio.create_task(self.sweep_forever(app))


def decode_records(body):
    bodies, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        bodies.append(body[position : position + length])
        position += length
    return bodies


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--keep-s', type=float, default=20)
    options = parser.parse_args()
    app = Store(options.keep_s).build_app()
    web.run_app(
        app,
        host='127.0.0.1',
        port=options.port,
        access_log=None,
        print=None,
        handle_signals=True,
    )


if __name__ == '__main__':
    main()
