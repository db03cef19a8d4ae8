"""Network addresses (``IP:PORT``) in records that others write."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

from pydantic import AfterValidator

__all__ = ["Address", "check_address"]

MAX_PORT = 65535
PORT = re.compile(r"[1-9][0-9]{0,4}")


def check_address(text: str) -> str:
    """Return a text that is an IP address and a port from 1 to 65535.

    An IPv6 address may be in brackets.

    :raises ValueError: when the text is anything else.
    """
    host, separator, port = text.rpartition(":")
    if not separator or PORT.fullmatch(port) is None or int(port) > MAX_PORT:
        raise ValueError("no port from 1 to 65535")
    if "%" in host:
        # The standard library takes any characters for a zone.
        raise ValueError("address with a zone")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.ip_address(host)
    return text


Address = Annotated[str, AfterValidator(check_address)]
