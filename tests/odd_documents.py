"""JSON documents that other writers may leave, and no encoder of ours can write."""

import orjson


class Nested:
    """Placeholder of a value that is nested too deeply to be encoded at once."""

    def __init__(self, depth, as_object=False):
        start, end = (b'{"a":', b'}') if as_object else (b'[', b']')
        self.content = start * depth + b'0' + end * depth


def encode(document):
    """Encodes a document as JSON that may have a placeholder."""
    nested = []

    def mark(value):
        nested.append(value.content)
        return 'nested'

    content = orjson.dumps(document, default=mark)
    return content.replace(b'"nested"', nested[0]) if nested else content
