"""Consumer groups of the stand-in store, which assign partitions evenly."""

import time
from typing import Any

import orjson
from aiohttp import web


class _ConsumerGroup:
    def __init__(self) -> None:
        self.generation = 0
        self.topics: tuple[str, ...] = ()
        self.expiry_s_by_member: dict[str, float] = {}
        self.offset_by_topic: dict[str, int] = {}

    def expire(self, now: float) -> None:
        expired_members = [
            member
            for member, expiry_s in self.expiry_s_by_member.items()
            if expiry_s < now
        ]
        for member in expired_members:
            self.remove(member)

    def remove(self, member: str) -> None:
        if self.expiry_s_by_member.pop(member, None) is not None:
            self.generation += 1

    def owner_of(self, topic: str) -> str | None:
        members = sorted(self.expiry_s_by_member)
        if not members or topic not in self.topics:
            return None
        return members[self.topics.index(topic) % len(members)]

    def assignments_of(self, member: str) -> list[list[Any]]:
        return [
            [topic, 0, self.offset_by_topic.get(topic, 0)]
            for topic in self.topics
            if self.owner_of(topic) == member
        ]


class ConsumerGroups:
    """HTTP handlers for all consumer groups; each topic has one partition."""

    def __init__(self) -> None:
        """Initializes the handlers without groups."""
        self._group_by_name: dict[str, _ConsumerGroup] = {}

    async def join(self, request: web.Request) -> web.Response:
        """Adds a member to a group or renews its membership."""
        document = orjson.loads(await request.read())
        group = self._find_group(document['group'])
        member = document['member']
        if member not in group.expiry_s_by_member:
            group.generation += 1
        ttl_s = document['ttl_ms'] / 1000
        group.expiry_s_by_member[member] = time.monotonic() + ttl_s
        group.topics = tuple(document['topic_list'])
        answer = {
            'generation': group.generation,
            'ttl_ms': document['ttl_ms'],
            'parts': group.assignments_of(member),
        }
        return web.json_response(answer)

    async def leave(self, request: web.Request) -> web.Response:
        """Removes a member from a group."""
        document = orjson.loads(await request.read())
        self._find_group(document['group']).remove(document['member'])
        return web.json_response({})

    async def commit(self, request: web.Request) -> web.Response:
        """Stores the offset up to which a partition's owner has read."""
        document = orjson.loads(await request.read())
        group = self._find_group(document['group'])
        if group.owner_of(document['topic']) != document['member']:
            return web.json_response({}, status=409)
        group.offset_by_topic[document['topic']] = document['offset']
        return web.json_response({})

    async def owners(self, request: web.Request) -> web.Response:
        """Lists the owner and the offset of each partition."""
        group = self._find_group(request.query['group'])
        assignments = [
            [topic, 0, group.owner_of(topic), group.offset_by_topic.get(topic)]
            for topic in group.topics
        ]
        return web.json_response({'parts': assignments})

    def _find_group(self, name: str) -> _ConsumerGroup:
        group = self._group_by_name.setdefault(name, _ConsumerGroup())
        group.expire(time.monotonic())
        return group
