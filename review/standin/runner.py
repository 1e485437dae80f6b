"""Stand-in of one runner: leases, fencing, run numbers and listed ends.

Follows the section on running tasks of PROTOCOL.md.  The spec of a task tells
this stand-in what the task does: ``cpu=500;mem=64;ms=60;``, followed by
anything.  Each start, end and acknowledgement is appended to a file at once.
"""

import argparse
import asyncio
import collections
import os
import random
import time

import aiohttp
import orjson
import uvloop

from light_http import serve

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
LONGEST_WAIT_MS = 2000
TICK_S = 0.004
#: Delay of orders that are carried out late, in seconds.
LATE_S = (2, 12)
#: Number of ends that one answer lists.
PAGE_ENDS = 500
INSTANCE_HEADER = 'camphorlink-expect-instance'


def read_spec(spec):
    fields = dict(
        part.split('=') for part in spec.split(';')[:-1] if '=' in part
    )
    return {name: int(fields.get(name, 0)) for name in ('cpu', 'mem', 'ms')}


class Run:
    """A run that is active."""

    def __init__(self, number, needs, now_ms):
        self.number = number
        self.needs = needs
        self.start_ms = now_ms
        self.end_ms = now_ms + needs['ms']

    def percent(self, now_ms):
        share = (now_ms - self.start_ms) / max(self.needs['ms'], 1)
        return min(int(share * 100), 99)


class Runner:
    """One life of a runner."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started_s = time.monotonic()
        self.token = 0
        self.lease_end_ms = 0
        self.has_lapsed = True
        self.active = {}
        self.used_cpu = 0
        self.used_mem = 0
        self.finished = collections.deque()
        self.end_count = 0
        self.last_ended = {}
        self.ended = asyncio.Event()
        self.call_by_path = {
            '/v1/run-start': self.start,
            '/v1/run-stop': self.stop,
            '/v1/hold': self.hold,
        }
        self.record = os.open(
            options.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )

    def clock_ms(self):
        return int((time.monotonic() - self.started_s) * 1000) + 1000

    def note(self, event, **fields):
        row = {
            't': round(time.monotonic(), 4),
            'runner': self.options.id,
            'event': event,
            **fields,
        }
        os.write(self.record, orjson.dumps(row) + b'\n')

    def answer(self, status, **fields):
        return status, {'clock_ms': self.clock_ms(), **fields}

    def handle(self, path, headers, command):
        if path == '/healthz':
            return 200, {}
        call = self.call_by_path.get(path)
        if call is None:
            return 404, {}
        expected = headers.get(INSTANCE_HEADER, self.options.id)
        if expected != self.options.id:
            return self.answer(421)
        token = command.get('fencing_token', 0)
        if token < self.token:
            return self.answer(409, reason='fence')
        self.token = token
        self.end_due()
        return call(command)

    def receive(self, path, headers, command):
        """Handles a call, or carries it out late and does not answer it."""
        if path.startswith('/v1/') and random.random() < self.options.late:
            return self.carry_out_late(path, headers, command)
        return self.handle(path, headers, command)

    async def carry_out_late(self, path, headers, command):
        delay_s = random.uniform(*LATE_S)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.carry_out, path, headers, command)
        await asyncio.Event().wait()

    def carry_out(self, path, headers, command):
        command.pop('wait_ms', None)
        self.handle(path, headers, command)

    def start(self, command):
        task, number = command['task'], command['run_id']
        self.extend_lease(command['deadline_ms'])
        run = self.active.get(task)
        if run is not None and run.number == number:
            return self.answer(200)
        if run is not None or number <= self.last_ended.get(task, 0):
            return self.answer(409, reason='old')
        if command['deadline_ms'] <= self.clock_ms():
            return self.answer(409, reason='late')
        needs = read_spec(command['spec'])
        if (
            self.used_cpu + needs['cpu'] > self.options.cpu
            or self.used_mem + needs['mem'] > self.options.mem
        ):
            return self.answer(409, reason='room')
        self.active[task] = Run(number, needs, self.clock_ms())
        self.used_cpu += needs['cpu']
        self.used_mem += needs['mem']
        self.note('start', task=task, run=number)
        return self.answer(200)

    def stop(self, command):
        task, number = command['task'], command['run_id']
        run = self.active.get(task)
        if run is not None and run.number == number:
            self.end(task, 'stopped')
        self.last_ended[task] = max(number, self.last_ended.get(task, 0))
        return self.answer(200)

    def hold(self, command):
        self.acknowledge(command.get('acknowledged', 0))
        if 'deadline_ms' in command:
            self.extend_lease(command['deadline_ms'])
        wait_ms = min(command.get('wait_ms', 0), LONGEST_WAIT_MS)
        if wait_ms and not self.finished:
            return self.wait_and_list(wait_ms / 1000)
        return self.list_runs()

    async def wait_and_list(self, wait_s):
        try:
            await asyncio.wait_for(self.ended.wait(), wait_s)
        except TimeoutError:
            self.end_due()
        return self.list_runs()

    def list_runs(self):
        now_ms = self.clock_ms()
        count = min(len(self.finished), PAGE_ENDS)
        return self.answer(
            200,
            born=self.born,
            active=[
                [task, run.number, '', run.percent(now_ms), run.needs['cpu']]
                for task, run in self.active.items()
            ],
            finished=[self.finished[index] for index in range(count)],
        )

    def extend_lease(self, deadline_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_end_ms = max(
            self.lease_end_ms, min(deadline_ms, longest_ms)
        )
        self.has_lapsed = self.lease_end_ms <= self.clock_ms()

    def acknowledge(self, number):
        while self.finished and self.finished[0][0] <= number:
            _, task, run, how, _ = self.finished.popleft()
            self.note('noted', task=task, run=run, how=how)

    def end_due(self):
        now_ms = self.clock_ms()
        if now_ms >= self.lease_end_ms and not self.has_lapsed:
            self.has_lapsed = True
            self.note('lapse')
        for task, run in list(self.active.items()):
            if now_ms >= self.lease_end_ms:
                self.end(task, 'lapsed')
            elif now_ms >= run.end_ms:
                self.end(task, 'done')

    def end(self, task, how):
        run = self.active.pop(task)
        self.used_cpu -= run.needs['cpu']
        self.used_mem -= run.needs['mem']
        self.end_count += 1
        self.last_ended[task] = max(run.number, self.last_ended.get(task, 0))
        self.finished.append((self.end_count, task, run.number, how, ''))
        self.note('end', task=task, run=run.number, how=how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    async def end_forever(self):
        while True:
            self.end_due()
            await asyncio.sleep(TICK_S)

    def entry(self, sequence):
        options = self.options
        return {
            'service': options.service,
            'address': f'127.0.0.1:{options.port}',
            'zone': options.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': {
                'cpu': options.cpu, 'mem_mb': options.mem, 'gpu': 0,
            },
            'labels': [options.kind, options.rack],
            'host_machine': f'm-{options.id}',
            'clock_ms': self.clock_ms(),
            'born': self.born,
            'sequence': sequence,
        }  # fmt: skip

    async def register_forever(self):
        url = f'http://{self.options.store}/standin/publish'
        sequence = 0
        async with aiohttp.ClientSession() as session:
            while True:
                sequence += 1
                document = {
                    'topic': 'keyed.servers',
                    'key': self.options.id,
                    'document': self.entry(sequence),
                }
                try:
                    async with session.post(url, json=document):
                        pass
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(HEARTBEAT_S)

    async def run(self):
        self.note('born', born=self.born)
        await asyncio.gather(
            serve(self.options.port, self.receive),
            self.end_forever(),
            self.register_forever(),
        )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--cpu', type=int, required=True)
    parser.add_argument('--mem', type=int, required=True)
    parser.add_argument('--late', type=float, default=0)
    for name in ('id', 'zone', 'rack', 'kind', 'service', 'store', 'record'):
        parser.add_argument(f'--{name}', required=True)
    options = parser.parse_args()

    async def run():
        await Runner(options).run()

    uvloop.run(run())


if __name__ == '__main__':
    main()
