"""Finds heads of answers that the library's parser accepts and HTTP does not.

The parser checks the syntax of fields. What remains is the meaning of the
status line and of the framing, and heads that begin with a part of another
answer: a faulty server may send the beginning of an answer once more on a kept
connection. With the next answer it reads as one head, which has the status of
the former and fields of both. The status line of the latter then stands in the
reason phrase or in a field.
"""

import enum
import re
from typing import Final

import aiohttp
from aiohttp import http_parser

_VERSIONS: Final = frozenset((aiohttp.HttpVersion10, aiohttp.HttpVersion11))
#: Every interim status but 101: no request asks for another protocol.
_INTERIM: Final = frozenset(range(100, 200)) - {101}
_FINAL: Final = range(200, 600)
_CONTROL: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
_STATUS_LINE: Final = re.compile(rb'HTTP/[0-9.]{1,3} ?[0-9]{3}')


class AnswerFault(enum.Enum):
    """Why an answer is not used; the value names it in logs and metrics."""

    SYNTAX = 'syntax'
    STATUS = 'status'
    VERSION = 'version'
    FRAMING = 'framing'
    JOINED = 'joined'
    SURPLUS = 'surplus'
    ENDLESS = 'endless'


def is_interim(message: http_parser.RawResponseMessage) -> bool:
    """Tells whether another head follows for the same request."""
    return message.code in _INTERIM


def find_fault(message: http_parser.RawResponseMessage) -> AnswerFault | None:
    """Returns what is wrong with a head; None if it can be used.

    Source: RFC 9110, section 15, and RFC 9112, sections 4 and 6.1.
    """
    if message.code not in _INTERIM and message.code not in _FINAL:
        return AnswerFault.STATUS
    if message.version not in _VERSIONS:
        return AnswerFault.VERSION
    if _CONTROL.search(message.reason or ''):
        return AnswerFault.SYNTAX
    if not _has_known_framing(message):
        return AnswerFault.FRAMING
    return AnswerFault.JOINED if _has_second_status_line(message) else None


def _has_known_framing(message: http_parser.RawResponseMessage) -> bool:
    # Requests permit no other coding, and a body in another one would be
    # passed on with its framing.
    codings = message.headers.getall('Transfer-Encoding', ())
    return not codings or [each.lower() for each in codings] == ['chunked']


def _has_second_status_line(message: http_parser.RawResponseMessage) -> bool:
    reason = (message.reason or '').encode(errors='replace')
    lines = (reason, *(content for _name, content in message.raw_headers))
    return any(b'HTTP/' in line and _STATUS_LINE.search(line) for line in lines)
