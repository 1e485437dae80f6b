"""Stand-in of the platform: its store and its runners, in one process.

It speaks what ``PROTOCOL.md`` says of both: records expire after ``keep_s``, an
append of more than ``call_bytes`` is rejected, a runner returns 500 ends at a
time and keeps the highest fencing token.  Where the page is silent it behaves
like a sound server.

The duration and the size of a task stand in its ``spec``: ``ms=300 cpu=500``, and
how many of its first runs fail: ``fails=1``.
Every start and every end is recorded with its time; ``/control`` serves the
record and injects the disruptions.
"""

import argparse
import asyncio
import base64
import collections
import json
import struct
import time

from aiohttp import web

HOST = '127.0.0.1'
LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
#: Limits of the store (``platform`` in the settings, ``PROTOCOL.md``).
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
STORE_ANSWER_S = 0.004
NEWEST_KEYS = 500
NEWEST_BYTES = 1_000_000
KEPT_APPENDS = 5
#: Limits of a runner.
HOLD_MAX_MS = 1000
ENDS_AT_A_TIME = 500
HEARTBEAT_S = 1.5
#: Intervals of silence after which the entry of a runner is removed.
SILENT_HEARTBEATS = 3
TICK_S = 0.005
#: Longer than any caller waits for an answer.
SILENCE_S = 10


def now_ms():
    """Returns the time on the clock of the record, in ms."""
    return time.monotonic() * 1000


class Partition:
    """The only partition of a topic."""

    def __init__(self, name):
        self.is_keyed = name.startswith('keyed.')
        self.first = 0
        self.records = collections.deque()
        self.newest = {}
        self.appended = asyncio.Event()
        self.producers = {}

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records):
        offset = self.end
        for record in records:
            if self.is_keyed:
                key = record[1 : 1 + record[0]].decode()
                content = record[1 + record[0] :]
                self.newest.pop(key, None)
                if content:
                    self.newest[key] = (self.end, content)
            self.records.append((now_ms(), record))
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()
        return {'offset': offset, 'end_offset': self.end}

    def expire(self, before_ms):
        while self.records and self.records[0][0] < before_ms:
            self.records.popleft()
            self.first += 1


class Store:
    """The platform's store."""

    def __init__(self, keep_s):
        self.partitions = {}
        self.mode = 'up'
        self.keep_s = keep_s
        self.refused_bytes = 0

    def topic(self, name):
        if name not in self.partitions:
            self.partitions[name] = Partition(name)
        return self.partitions[name]

    def publish(self, topic, key, document):
        content = b'' if document is None else json.dumps(document).encode()
        record = bytes((len(key),)) + key.encode() + content
        self.topic(topic).append([record])

    def app(self):
        app = web.Application(client_max_size=64 * CALL_BYTES,
                              middlewares=[self.disrupt])
        app.router.add_post('/v1/log-append', self.log_append)
        app.router.add_get('/v1/log-read', self.log_read)
        app.router.add_get('/v1/log-newest', self.log_newest)
        return app

    @web.middleware
    async def disrupt(self, request, handler):
        if self.mode == 'busy':
            return web.json_response({}, status=503)
        await asyncio.sleep(STORE_ANSWER_S)
        return await handler(request)

    async def log_append(self, request):
        query = request.query
        if query['topic'] in {'keyed.op', 'keyed.servers'}:
            return web.json_response({}, status=403)
        body = await request.read()
        records = []
        position = 0
        while position < len(body):
            size = LENGTH.unpack_from(body, position)[0]
            position += LENGTH.size
            records.append(body[position : position + size])
            position += size
        total = sum(map(len, records))
        if total > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            self.refused_bytes = max(self.refused_bytes, total)
            return web.json_response({'reason': 'size'}, status=413)
        partition = self.topic(query['topic'])
        if 'at' in query and int(query['at']) != partition.end:
            return web.json_response({'end_offset': partition.end}, status=412)
        if 'producer' not in query:
            return web.json_response(partition.append(records))
        epoch, sequence = int(query['epoch']), int(query['sequence'])
        known = partition.producers.get(query['producer'])
        if known is not None and epoch < known[0]:
            return web.json_response({'reason': 'fenced'}, status=409)
        if known is None or epoch > known[0]:
            known = (epoch, collections.OrderedDict())
            partition.producers[query['producer']] = known
        answers = known[1]
        if sequence in answers:
            return web.json_response(answers[sequence])
        if answers and sequence != next(reversed(answers)) + 1:
            expected = next(reversed(answers)) + 1
            return web.json_response(
                {'reason': 'seq', 'sequence': expected}, status=409
            )
        answers[sequence] = partition.append(records)
        while len(answers) > KEPT_APPENDS:
            answers.popitem(last=False)
        return web.json_response(answers[sequence])

    async def log_read(self, request):
        query = request.query
        partition = self.topic(query['topic'])
        offset = int(query['from'])
        longest = int(query.get('max_kb', 1024)) * 1024
        if offset >= partition.end and int(query.get('wait_ms', 0)):
            wait_s = int(query['wait_ms']) / 1000
            try:
                await asyncio.wait_for(partition.appended.wait(), wait_s)
            except TimeoutError:
                pass
            if self.mode == 'busy':
                return web.json_response({}, status=503)
        if offset < partition.first:
            return web.json_response(
                {'first_offset': partition.first}, status=410
            )
        parts = [BOUNDS.pack(partition.end, partition.first)]
        size = 0
        for index in range(offset - partition.first, len(partition.records)):
            record = partition.records[index][1]
            size += len(record)
            if size > longest and len(parts) > 1:
                break
            parts.append(LENGTH.pack(len(record)) + record)
        return web.Response(body=b''.join(parts))

    async def log_newest(self, request):
        partition = self.topic(request.query['topic'])
        after = request.query.get('after', '')
        items = []
        size = 0
        keys = sorted(key for key in partition.newest if key > after)
        for key in keys:
            offset, content = partition.newest[key]
            size += len(content)
            if len(items) == NEWEST_KEYS or (items and size > NEWEST_BYTES):
                break
            value = base64.b64encode(content).decode()
            items.append({'key': key, 'value': value, 'offset': offset})
        return web.json_response({
            'items': items,
            'has_more': len(items) < len(keys),
            'end_offset': partition.end,
        })  # fmt: skip

    async def expire_forever(self):
        while True:
            for name, partition in self.partitions.items():
                if not name.startswith('keyed.'):
                    partition.expire(now_ms() - self.keep_s * 1000)
            await asyncio.sleep(0.1)


class Runner:
    """One runner; each life has an empty state."""

    def __init__(self, platform, runner_id, zone, cpu, labels):
        self.platform = platform
        self.runner_id = runner_id
        self.zone = zone
        self.cpu = cpu
        self.labels = labels
        self.port = 0
        self.is_up = False
        self.is_cut = False
        self.is_silent = False
        self.is_draining = False
        self.sequence = 0
        self.heard_ms = now_ms()
        self.web_runner = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.started_ms = now_ms()
        self.token = 0
        self.lease_end_ms = 0
        self.has_lapsed = True
        self.active = {}
        self.finished = []
        self.count = 0
        self.highest = {}
        self.failing = set()
        self.ended = asyncio.Event()
        self.is_up = True
        if not self.is_cut:
            await self.listen()
        self.register()

    async def listen(self):
        app = web.Application(middlewares=[self.check_instance])
        app.router.add_post('/v1/run-start', self.run_start)
        app.router.add_post('/v1/run-stop', self.run_stop)
        app.router.add_post('/v1/hold', self.hold)
        self.web_runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self.web_runner.setup()
        self.site = web.TCPSite(
            self.web_runner, HOST, self.port, reuse_address=True, backlog=512
        )
        await self.site.start()
        self.port = self.web_runner.addresses[0][1]

    async def refuse(self):
        """Lets nobody listen, and resets all channels."""
        if self.web_runner is None:
            return
        await self.site.stop()
        for connection in self.web_runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        web_runner, self.web_runner = self.web_runner, None
        await web_runner.cleanup()

    async def cut_off(self, how):
        """Cuts the runner off from the VMs; it runs on.

        With ``refuse`` it refuses connections; with ``silent`` it answers
        nothing.  It reaches the store.
        """
        if how == 'silent':
            self.is_silent = True
        else:
            self.is_cut = True
            await self.refuse()

    async def heal(self):
        self.is_silent = False
        was_cut, self.is_cut = self.is_cut, False
        if self.is_up and was_cut:
            await self.listen()
            self.register()

    async def crash(self, how='crashed'):
        """Ends this life with all that runs on it."""
        self.is_up = False
        for task in list(self.active):
            run, *_ = self.active.pop(task)
            self.platform.note('end', self, task, run, how)
        await self.refuse()

    def register(self):
        self.sequence += 1
        self.heard_ms = now_ms()
        entry = {
            'service': self.platform.service,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if self.is_draining else 'ready',
            'cold_remaining_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 131_072, 'gpu': 0},
            'labels': self.labels,
            'born': self.born,
            'clock_ms': self.clock_ms(),
            'sequence': self.sequence,
        }
        if self.is_draining:
            entry['remaining_ms'] = 1000
        self.platform.store.publish('keyed.servers', self.runner_id, entry)

    def clock_ms(self):
        return int(now_ms() - self.started_ms) + 1000

    def answer(self, status, **fields):
        document = {'clock_ms': self.clock_ms(), **fields}
        return web.json_response(document, status=status)

    @web.middleware
    async def check_instance(self, request, handler):
        expected = request.headers.get('Camphorlink-Expect-Instance')
        if self.is_silent:
            await asyncio.sleep(SILENCE_S)
            raise web.HTTPServiceUnavailable
        if expected not in {None, self.runner_id}:
            return self.answer(421)
        if request.path == '/v1/run-start' and self.platform.holds_next_start():
            command = json.loads(await request.read())
            self.platform.note(
                'order-held', self, command['task'], command['run_id'], ''
            )
            self.platform.run_later(
                self.platform.late_s, self.start_late, command
            )
            # The caller gives up; its channel is never answered.
            await asyncio.sleep(2)
            raise web.HTTPServiceUnavailable
        response = await handler(request)
        if self.is_silent:
            await asyncio.sleep(SILENCE_S)
        return response

    async def start_late(self, command):
        """Carries out an order that got no answer, if the runner is up."""
        if self.is_up:
            self.begin(command)

    def accepts(self, command):
        token = command.get('fencing_token', 0)
        if token < self.token:
            return False
        self.token = token
        deadline_ms = command.get('deadline_ms', 0)
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, longest_ms))
        return True

    async def run_start(self, request):
        return self.begin(json.loads(await request.read()))

    def begin(self, command):
        if not self.accepts(command):
            return self.answer(409, reason='fence')
        task, run = command['task'], command['run_id']
        if task in self.active and self.active[task][0] == run:
            return self.answer(200)
        if run <= self.highest.get(task, 0) or task in self.active:
            return self.answer(409, reason='old')
        if command['deadline_ms'] < self.clock_ms():
            return self.answer(409, reason='late')
        facts = dict(
            part.split('=') for part in command['spec'].split() if '=' in part
        )
        cpu = int(facts['cpu'])
        if sum(entry[3] for entry in self.active.values()) + cpu > self.cpu:
            return self.answer(409, reason='room')
        start_ms = now_ms()
        # The first runs of a task end as failed, as many as its spec says.
        number = self.platform.runs_by_task[task]
        self.platform.runs_by_task[task] += 1
        if number < int(facts.get('fails', 0)):
            self.failing.add((task, run))
        self.active[task] = (run, start_ms, start_ms + int(facts['ms']), cpu)
        self.platform.note('start', self, task, run, '')
        return self.answer(200)

    async def run_stop(self, request):
        command = json.loads(await request.read())
        if not self.accepts(command):
            return self.answer(409, reason='fence')
        task, run = command['task'], command['run_id']
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.active and self.active[task][0] == run:
            self.end(task, 'stopped')
        return self.answer(200)

    async def hold(self, request):
        command = json.loads(await request.read())
        if not self.accepts(command):
            return self.answer(409, reason='fence')
        acknowledged = command.get('acknowledged', 0)
        for entry in self.finished:
            if entry[0] <= acknowledged:
                self.platform.note('noted', self, entry[1], entry[2], entry[3])
        self.finished = [e for e in self.finished if e[0] > acknowledged]
        if command.get('wait_ms') and not self.finished:
            try:
                await asyncio.wait_for(
                    self.ended.wait(), command['wait_ms'] / 1000
                )
            except TimeoutError:
                pass
        active = [
            [task, run, '', min(99, int(100 * (now_ms() - start) / (end - start))), 0]
            for task, (run, start, end, _) in self.active.items()
        ]
        return self.answer(
            200,
            born=self.born,
            active=active,
            finished=self.finished[:ENDS_AT_A_TIME],
        )

    def end(self, task, how):
        run, *_ = self.active.pop(task)
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.count += 1
        self.finished.append([self.count, task, run, how, ''])
        self.platform.note('end', self, task, run, how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    def tick(self):
        has_lapsed = self.clock_ms() > self.lease_end_ms
        if has_lapsed and not self.has_lapsed:
            self.platform.note('lease-lapsed', self, '-', 0, '')
        self.has_lapsed = has_lapsed
        if has_lapsed:
            for task in list(self.active):
                self.end(task, 'lapsed')
        for task, (run, _, end_ms, _) in list(self.active.items()):
            if now_ms() >= end_ms:
                has_failed = (task, run) in self.failing
                self.end(task, 'failed' if has_failed else 'done')


class Platform:
    """The store, the runners, and the control interface of the tests."""

    def __init__(self, options):
        self.store = Store(options.keep_s)
        self.service = options.service
        self.record = []
        self.later = set()
        self.runs_by_task = collections.Counter()
        self.late_until_ms = 0
        self.late_each = 1
        self.late_s = 0
        self.starts_seen = 0
        self.runners = {}
        for row in json.loads(options.runners):
            self.runners[row['id']] = Runner(
                self, row['id'], row['zone'], row['cpu'], row['labels']
            )

    def note(self, event, runner, task, run, how):
        self.record.append(
            [round(now_ms(), 1), event, runner.runner_id, task, run, how]
        )

    async def run(self, config):
        self.store.publish('keyed.op', 'config', config)
        store_app = self.store.app()
        control = web.Application(client_max_size=CALL_BYTES)
        control.router.add_get('/control/record', self.show_record)
        control.router.add_post('/control/store', self.set_store)
        control.router.add_post('/control/crash', self.crash)
        control.router.add_post('/control/drain', self.drain)
        control.router.add_post('/control/late', self.hold_starts)
        control.router.add_post('/control/cut', self.cut)
        ports = []
        for each in (store_app, control):
            web_runner = web.AppRunner(each, access_log=None)
            await web_runner.setup()
            await web.TCPSite(web_runner, HOST, 0, backlog=512).start()
            ports.append(web_runner.addresses[0][1])
        for runner in self.runners.values():
            await runner.start()
        print(json.dumps({'store': ports[0], 'control': ports[1]}), flush=True)
        await asyncio.gather(
            self.store.expire_forever(), self.tick_forever(), self.beat_forever()
        )

    async def tick_forever(self):
        while True:
            for runner in self.runners.values():
                if runner.is_up:
                    runner.tick()
            await asyncio.sleep(TICK_S)

    async def beat_forever(self):
        while True:
            self.next_beat_ms = now_ms() + HEARTBEAT_S * 1000
            await asyncio.sleep(HEARTBEAT_S)
            for runner in list(self.runners.values()):
                silent_s = (now_ms() - runner.heard_ms) / 1000
                if runner.is_up:
                    runner.register()
                elif silent_s > SILENT_HEARTBEATS * HEARTBEAT_S:
                    self.store.publish('keyed.servers', runner.runner_id, None)
                    runner.heard_ms = float('inf')

    async def show_record(self, request):
        return web.json_response({
            'now_ms': now_ms(),
            'next_beat_ms': self.next_beat_ms,
            'record': self.record[int(request.query.get('from', 0)) :],
            'largest_refused_append': self.store.refused_bytes,
        })  # fmt: skip

    async def set_store(self, request):
        self.store.mode = (await request.json())['mode']
        return web.json_response({})

    async def crash(self, request):
        """Ends a runner's life; it starts again after ``down_s``, if given."""
        document = await request.json()
        runner = self.runners[document['runner']]
        await runner.crash()
        if document.get('down_s') is not None:
            self.run_later(document['down_s'], runner.start)
        return web.json_response({})

    def run_later(self, delay_s, call, *arguments):
        async def run():
            await asyncio.sleep(delay_s)
            await call(*arguments)

        task = asyncio.ensure_future(run())
        self.later.add(task)
        task.add_done_callback(self.later.discard)

    def holds_next_start(self):
        """Returns whether a start gets no answer and is carried out late."""
        if now_ms() > self.late_until_ms:
            return False
        self.starts_seen += 1
        return self.starts_seen % self.late_each == 0

    async def hold_starts(self, request):
        """Leaves each n-th start unanswered for a while, as ``late`` orders."""
        document = await request.json()
        self.late_each = document['each']
        self.late_s = document['late_s']
        self.late_until_ms = now_ms() + document['for_s'] * 1000
        return web.json_response({})

    async def cut(self, request):
        """Cuts a runner off for ``for_s``."""
        document = await request.json()
        runner = self.runners[document['runner']]
        await runner.cut_off(document['how'])
        self.run_later(document['for_s'], runner.heal)
        return web.json_response({})

    async def drain(self, request):
        """Lets a runner drain, then leave for good."""
        document = await request.json()
        runner = self.runners[document['runner']]
        runner.is_draining = True
        runner.register()

        async def leave():
            await asyncio.sleep(document['drain_s'])
            await runner.crash('left')
            self.store.publish('keyed.servers', runner.runner_id, None)
            runner.heard_ms = float('inf')

        self.run_later(0, leave)
        return web.json_response({})


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--keep-s', type=float, default=20)
    parser.add_argument('--service', default='desk')
    parser.add_argument('--runners', required=True)
    parser.add_argument('--config', required=True)
    options = parser.parse_args()
    asyncio.run(Platform(options).run(json.loads(options.config)))


if __name__ == '__main__':
    main()
