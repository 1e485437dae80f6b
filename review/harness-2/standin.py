"""Stand-ins of the users' platform, after their page PROTOCOL.

``standin.py store PORT`` serves the store of logs, and ``standin.py runner
OPTIONS`` one runner.  Both keep their state in memory, on loopback.  Paths below
``/standin/`` belong to the test and not to the platform.
"""

import asyncio
import base64
import collections
import json
import signal
import struct
import sys
import time
from pathlib import Path

import aiohttp
from aiohttp import web

LOOPBACK = '127.0.0.1'
LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
#: Limits that the settings of a small installation name.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
#: Limits of one page of the newest records.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
DEFAULT_READ_KB = 1024
KEPT_ANSWERS = 5
#: Period of a runner's report, in seconds, and of its expiry.
HEARTBEAT_S = 1.5
SILENT_REPORTS = 3
HOLD_MAX_MS = 1000
#: Most ends that a runner lists at a time.
ENDS_AT_A_TIME = 500


def now_ms():
    """Returns the steady clock of the machine, in ms."""
    return time.monotonic() * 1000


class Partition:
    """Records of the only partition of a topic."""

    def __init__(self, keep_s):
        self.keep_s = keep_s
        self.entries = collections.deque()
        self.end = 0
        self.newest = {}
        self.producers = {}
        self.appended = asyncio.Event()

    @property
    def first(self):
        return self.entries[0][0] if self.entries else self.end

    def expire(self):
        oldest_s = time.monotonic() - self.keep_s
        while self.entries and self.entries[0][1] < oldest_s:
            self.entries.popleft()

    def add(self, records, is_keyed):
        offset = self.end
        for record in records:
            self.entries.append((self.end, time.monotonic(), record))
            if is_keyed:
                key = record[1 : 1 + record[0]].decode()
                content = record[1 + record[0] :]
                self.newest.pop(key, None)
                if content:
                    self.newest[key] = (self.end, content)
            self.end += 1
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()
        return {'offset': offset, 'end_offset': self.end}

    def append(self, records, is_keyed, query):
        producer = query.get('producer')
        if 'at' in query and int(query['at']) != self.end:
            return 412, {'end_offset': self.end}
        if producer is None:
            return 200, self.add(records, is_keyed)
        epoch, sequence = int(query['epoch']), int(query['sequence'])
        state = self.producers.get(producer)
        if state is None or state['epoch'] < epoch:
            state = {'epoch': epoch, 'last': None, 'answers': {}}
            self.producers[producer] = state
        if epoch < state['epoch']:
            return 409, {'reason': 'fenced'}
        if sequence in state['answers']:
            return 200, state['answers'][sequence]
        if state['last'] is not None and sequence != state['last'] + 1:
            return 409, {'reason': 'seq', 'sequence': state['last'] + 1}
        answer = self.add(records, is_keyed)
        state['last'] = sequence
        state['answers'][sequence] = answer
        state['answers'].pop(sequence - KEPT_ANSWERS, None)
        return 200, answer


class Store:
    """The store; ``busy`` makes it refuse each call with 503.

    Each entry VM has a port of its own.  Calls at the ports in ``silent`` are
    not carried out and get no answer.
    """

    def __init__(self, keep_s):
        self.keep_s = keep_s
        self.busy = False
        self.silent = set()
        self.refused_bytes = []
        self.topics = {}
        self.beat_s_by_id = {}

    def partition(self, topic):
        if topic not in self.topics:
            self.topics[topic] = Partition(self.keep_s)
        part = self.topics[topic]
        part.expire()
        return part

    def app(self):
        app = web.Application(
            client_max_size=4 * CALL_BYTES, middlewares=[self.refuse_calls]
        )
        app.add_routes(
            [
                web.post('/v1/log-append', self.append),
                web.get('/v1/log-read', self.read),
                web.get('/v1/log-newest', self.read_newest),
                web.post('/standin/put', self.put),
                web.post('/standin/faults', self.set_faults),
                web.get('/standin/state', self.show),
            ]
        )
        return app

    @web.middleware
    async def refuse_calls(self, request, handler):
        if request.path.startswith('/standin/'):
            return await handler(request)
        if request.transport.get_extra_info('sockname')[1] in self.silent:
            await asyncio.Event().wait()
        if self.busy:
            return web.json_response({}, status=503)
        return await handler(request)

    async def append(self, request):
        topic = request.query['topic']
        if topic in {'keyed.op', 'keyed.servers'}:
            return web.json_response({}, status=403)
        body = await request.read()
        records, position = [], 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            records.append(body[position : position + length])
            position += length
        is_too_large = any(len(record) > RECORD_BYTES for record in records)
        if is_too_large or sum(map(len, records)) > CALL_BYTES:
            self.refused_bytes.append([topic, sum(map(len, records))])
            return web.json_response({'reason': 'size'}, status=400)
        is_keyed = topic.startswith('keyed.')
        status, answer = self.partition(topic).append(
            records, is_keyed, request.query
        )
        return web.json_response(answer, status=status)

    async def read(self, request):
        part = self.partition(request.query['topic'])
        offset = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        if offset >= part.end and wait_s:
            try:
                await asyncio.wait_for(part.appended.wait(), wait_s)
            except TimeoutError:
                pass
            if self.busy:
                return web.json_response({}, status=503)
            if request.transport.get_extra_info('sockname')[1] in self.silent:
                await asyncio.Event().wait()
        part.expire()
        if offset < part.first:
            return web.json_response({'first_offset': part.first}, status=410)
        left = 1024 * int(request.query.get('max_kb', DEFAULT_READ_KB))
        rows = []
        skipped = offset - part.first
        for number, (_, _, record) in enumerate(part.entries):
            if number < skipped:
                continue
            left -= LENGTH.size + len(record)
            if left < 0 and rows:
                break
            rows.append(LENGTH.pack(len(record)) + record)
        body = BOUNDS.pack(part.end, part.first) + b''.join(rows)
        return web.Response(body=body)

    async def read_newest(self, request):
        part = self.partition(request.query['topic'])
        after = request.query.get('after', '')
        items, size, has_more = [], 0, False
        for key in sorted(part.newest):
            if key <= after:
                continue
            offset, content = part.newest[key]
            size += len(content)
            if items and (len(items) == PAGE_ITEMS or size > PAGE_BYTES):
                has_more = True
                break
            value = base64.b64encode(content).decode()
            items.append({'key': key, 'value': value, 'offset': offset})
        return web.json_response(
            {'items': items, 'has_more': has_more, 'end_offset': part.end}
        )

    async def put(self, request):
        """Writes a record as the operator or a runner does."""
        document = await request.json()
        self.put_record(**document)
        return web.json_response({})

    def put_record(self, topic, key, value):
        content = b'' if value is None else json.dumps(value).encode()
        encoded = key.encode()
        record = bytes((len(encoded),)) + encoded + content
        self.partition(topic).add([record], is_keyed=True)
        if topic == 'keyed.servers' and value is not None:
            self.beat_s_by_id[key] = time.monotonic()

    async def expire_runners(self):
        while True:
            await asyncio.sleep(0.1)
            oldest_s = time.monotonic() - SILENT_REPORTS * HEARTBEAT_S
            for key, beat_s in list(self.beat_s_by_id.items()):
                if beat_s < oldest_s:
                    self.beat_s_by_id.pop(key)
                    self.put_record('keyed.servers', key, None)

    async def set_faults(self, request):
        document = await request.json()
        self.busy = document.get('busy', False)
        self.silent = set(document.get('silent', ()))
        return web.json_response({})

    async def show(self, request):
        return web.json_response(
            {
                'refused_bytes': self.refused_bytes,
                'topics': {
                    name: [part.first, part.end]
                    for name, part in self.topics.items()
                },
            }
        )


class Runner:
    """One life of a runner.

    Its tasks work for the time that their spec states, ``{"ms": .., "cpu": ..}``.
    """

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_end_ms = 0.0
        self.active = {}
        self.finished = []
        self.ends = 0
        self.last_run = {}
        self.ended = asyncio.Event()
        self.record = Path(options['record']).open('a', buffering=1)

    def note(self, event, **fields):
        row = {'ms': round(now_ms(), 1), 'at': self.options['id'],
               'event': event, **fields}  # fmt: skip
        self.record.write(json.dumps(row) + '\n')

    def app(self):
        app = web.Application(middlewares=[self.check_life])
        app.add_routes(
            [
                web.post('/v1/run-start', self.start),
                web.post('/v1/run-stop', self.stop),
                web.post('/v1/hold', self.hold),
            ]
        )
        return app

    @web.middleware
    async def check_life(self, request, handler):
        expected = request.headers.get('Camphorlink-Expect-Instance')
        if expected not in {None, self.options['id']}:
            return self.answer(421)
        return await handler(request)

    def answer(self, status, **fields):
        document = {'clock_ms': int(now_ms()), 'born': self.born, **fields}
        return web.json_response(document, status=status)

    def is_fenced(self, command):
        token = command.get('fencing_token', 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def extend(self, deadline_ms):
        self.lease_end_ms = max(
            self.lease_end_ms, min(deadline_ms, now_ms() + HOLD_MAX_MS)
        )

    async def start(self, request):
        command = await request.json()
        if self.is_fenced(command):
            return self.answer(409, reason='fence')
        task, run = command['task'], command['run_id']
        work = json.loads(command['spec'])
        known = self.active.get(task)
        if known is not None and known['run'] == run:
            return self.answer(200)
        if command['deadline_ms'] < now_ms():
            return self.answer(409, reason='late')
        self.extend(command['deadline_ms'])
        if known is not None or run <= self.last_run.get(task, 0):
            return self.answer(409, reason='old')
        used = sum(entry['cpu'] for entry in self.active.values())
        if used + work['cpu'] > self.options['cpu']:
            return self.answer(409, reason='room')
        end_ms = now_ms() + work['ms']
        self.active[task] = {'run': run, 'cpu': work['cpu'], 'end_ms': end_ms,
                             'ms': work['ms']}  # fmt: skip
        self.note('start', task=task, run=run, fence=command['fencing_token'])
        return self.answer(200)

    async def stop(self, request):
        command = await request.json()
        if self.is_fenced(command):
            return self.answer(409, reason='fence')
        task, run = command['task'], command['run_id']
        known = self.active.get(task)
        if known is not None and known['run'] == run:
            self.end(task, 'stopped')
        self.last_run[task] = max(run, self.last_run.get(task, 0))
        return self.answer(200)

    async def hold(self, request):
        command = await request.json()
        if self.is_fenced(command):
            return self.answer(409, reason='fence')
        self.extend(command.get('deadline_ms', 0))
        acknowledged = command.get('acknowledged', 0)
        for number, task, run, how, _ in self.finished:
            if number <= acknowledged:
                self.note('noted', task=task, run=run, how=how)
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        wait_s = min(command.get('wait_ms', 0), 2000) / 1000
        if not self.finished and wait_s:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except TimeoutError:
                pass
        now = now_ms()
        active = [
            [task, entry['run'], '',
             min(99, int(100 - 100 * (entry['end_ms'] - now) / entry['ms'])), 0]
            for task, entry in self.active.items()
        ]  # fmt: skip
        finished = self.finished[:ENDS_AT_A_TIME]
        return self.answer(200, active=active, finished=finished)

    def end(self, task, how):
        entry = self.active.pop(task)
        self.last_run[task] = max(entry['run'], self.last_run.get(task, 0))
        self.ends += 1
        self.finished.append([self.ends, task, entry['run'], how, ''])
        self.note(
            'end', number=self.ends, task=task, run=entry['run'], how=how
        )
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            now = now_ms()
            has_lapsed = now > self.lease_end_ms
            for task, entry in list(self.active.items()):
                if entry['end_ms'] <= min(now, self.lease_end_ms):
                    self.end(task, 'done')
                elif has_lapsed:
                    self.end(task, 'lapsed')

    async def report(self, port):
        options = self.options
        async with aiohttp.ClientSession() as session:
            sequence = 0
            while True:
                sequence += 1
                entry = {
                    'service': options['service'],
                    'address': f'{LOOPBACK}:{port}', 'zone': options['zone'],
                    'version': 'v1', 'slots': 8, 'state': 'ready',
                    'cold_remaining_ms': 0,
                    'capacity': {'cpu': options['cpu'], 'mem_mb': 131_072,
                                 'gpu': 0},
                    'labels': ['a', options['rack']],
                    'clock_ms': int(now_ms()), 'born': self.born,
                    'sequence': sequence,
                }  # fmt: skip
                record = {'topic': 'keyed.servers', 'key': options['id'],
                          'value': entry}  # fmt: skip
                try:
                    await session.post(
                        f'http://{options["store"]}/standin/put', json=record
                    )
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(HEARTBEAT_S)


async def serve(app, ports):
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, LOOPBACK, port).start()
    return [address[1] for address in runner.addresses]


class CutOff:
    """Serves a runner, and refuses all connections while it is cut off.

    The runner works on meanwhile, as far as its lease allows.
    """

    def __init__(self, runner, port):
        self.runner = runner
        self.port = port
        self.server = None

    async def open(self):
        self.server = web.AppRunner(
            self.runner.app(), access_log=None, shutdown_timeout=0
        )
        await self.server.setup()
        await web.TCPSite(self.server, LOOPBACK, self.port).start()

    async def set_cut(self, request):
        is_cut = (await request.json())['cut']
        self.runner.note('cut' if is_cut else 'healed')
        if is_cut:
            await self.server.cleanup()
        else:
            await self.open()
        return web.json_response({})

    def control(self):
        app = web.Application()
        app.add_routes([web.post('/standin/cut', self.set_cut)])
        return app


async def main(kind, options):
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    if kind == 'store':
        store = Store(options['keep_s'])
        ports = await serve(store.app(), [0] * options['ports'])
        tasks = [asyncio.create_task(store.expire_runners())]
    else:
        runner = Runner(options)
        cut_off = CutOff(runner, options['port'])
        await cut_off.open()
        ports = await serve(cut_off.control(), [0])
        tasks = [
            asyncio.create_task(runner.work()),
            asyncio.create_task(runner.report(options['port'])),
        ]
    print(json.dumps({'ports': ports}), flush=True)
    await stopped.wait()
    for task in tasks:
        task.cancel()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], json.loads(sys.argv[2])))
