"""The grammar of what frames an HTTP/1.1 answer, by RFC 9112 and RFC 9110.

Parsers of heads take almost any bytes: blanks in names, lines that are no fields. What
they make of such bytes looks like a sound answer. So the bytes are held to the grammar
here, before any parser reads them.

Where the standard leaves a choice, a line may end with LF alone, the reason phrase and
the blank before it may be missing. Folded lines are refused.
"""

import re

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
TEXT = rb"[\t \x21-\x7e\x80-\xff]*+"
"""Blanks, printable bytes, and bytes above 127, whose meaning is not defined."""
FIELD = TOKEN + rb":" + TEXT
STATUS = rb"HTTP/1\.[0-9][ \t]+([0-9]{3})(?:[ \t]" + TEXT + rb")?"
STATUS_LINE = re.compile(STATUS + rb"\r?\n")
FIELD_LINE = re.compile(FIELD + rb"\r?\n")
FINAL_HEAD = re.compile(
    STATUS.replace(rb"([0-9]{3})", rb"[2-5][0-9]{2}")
    + rb"\r\n(?:"
    + FIELD
    + rb"(?<![\t ])\r\n)*+\r\n"
)
"""A final head as nearly all are: its lines end with CRLF, without blanks before."""
