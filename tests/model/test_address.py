"""Texts that are an address, and texts that only look like one."""

from __future__ import annotations

import pytest

from lagoonpulley.model.address import check_address


@pytest.mark.parametrize(
    "text", ["10.0.0.1:1", "10.0.0.1:65535", "[fd00::1]:80", "fd00::1:5000"]
)
def test_address_with_a_port_is_accepted(text):
    assert check_address(text) == text


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:+80",
        "10.0.0.1:8_0",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:abc",
        "10.0.0.1:80\n",
        "10.0.0.1:\u0668\u0660",
        "10.0.0.1 :80",
        " 10.0.0.1:80",
        "10.0.0.1\0:80",
        "10.0.0.1\r\nHost: other:80",
        "10.0.0.256:80",
        "\u0661\u0660.0.0.1:80",
        "caf\u00e9:80",
        "localhost:80",
        "user@10.0.0.1:80",
        "10.0.0.1/path:80",
        "[10.0.0.1]:80",
        "[fd00::1:80",
        "fe80::1%eth0\r\nHost: other:80",
        "[fe80::1%\n]:80",
    ],
)
def test_text_that_is_no_address_is_refused(text):
    with pytest.raises(ValueError):
        check_address(text)
