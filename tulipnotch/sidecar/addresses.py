"""Socket addresses in the text form that files and the endpoint list use."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]  # numeric IP address without brackets, and port


def parse_address(value: object) -> Address:
    """Parses `address:port`.

    Args:
        value: The text; an IPv6 address is enclosed in brackets.

    Raises:
        ValueError: The value is not a string of this form.  The address must be numeric, since there is no
            DNS.
    """
    if not isinstance(value, str):
        raise ValueError(f"address:port is needed, not {value!r:.60}")
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        port_number = int(port)
    except ValueError:
        raise ValueError(f"address:port is needed, not {value!r:.60}") from None
    if not 0 <= port_number <= 65_535:
        raise ValueError(f"a port from 0 to 65535 is needed, not {port_number}")
    return host.strip("[]"), port_number


def format_address(address: Address) -> str:
    """Returns an address as `address:port`, with an IPv6 address in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
