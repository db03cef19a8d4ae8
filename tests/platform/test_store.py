"""Odd answers of the store, which must count as not understood."""

from __future__ import annotations

import pytest

from lagoonpulley.model.verdict import Ran
from lagoonpulley.platform.store import PlatformStoreCodec
from lagoonpulley.runtime.curl import HttpAnswer
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.store.messages import Get, GrantLease, ReadRange, StoreStatus

OUT_OF_RANGE = ["9" * 4000, "9" * 400, "-1", "1.5", "NaN", "1e999", "[" * 9999]


def decode(operation, text, status=200):
    """Decode an answer, as a text that Python's JSON encoder would not write."""
    codec = PlatformStoreCodec("10.0.0.7:1")
    return codec.decode(operation, HttpAnswer(status, text.encode()))


def is_not_understood(result):
    return isinstance(result, CallFailed) and result.ran is Ran.MAYBE


@pytest.mark.parametrize("value", ["0", str(2**63 + 1)])
def test_answer_with_an_ordinary_revision_is_understood(value):
    item = f'{{"key": "p/1", "value": "", "revision": {value}, "unknown": 1e999}}'
    result = decode(ReadRange("p/"), f'{{"items": [{item}], "storeRevision": {value}}}')
    assert result.entries[0].revision == result.revision == int(value)


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize("field", ["revision", "created", "storeRevision"])
def test_answer_with_a_revision_out_of_range_is_not_understood(field, value):
    text = f'{{"value": "", "{field}": {value}}}'
    assert is_not_understood(decode(Get("k"), text))


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize("field", ["revision", "created"])
def test_answer_with_an_item_out_of_range_is_not_understood(field, value):
    item = f'{{"key": "p/1", "value": "", "revision": 3, "{field}": {value}}}'
    assert is_not_understood(decode(ReadRange("p/"), f'{{"items": [{item}]}}'))


@pytest.mark.parametrize("value", ["9" * 400, "-1", "NaN", "Infinity", "1e999"])
def test_lease_for_no_finite_time_is_not_understood(value):
    assert is_not_understood(decode(GrantLease(1.0), f'{{"lease":1,"ttlMs":{value}}}'))


def test_lease_for_a_finite_time_is_granted():
    result = decode(GrantLease(1.0), '{"lease": 17, "ttlMs": 1000.5}')
    assert (result.status, result.lease_id) == (StoreStatus.OK, "17")
    assert result.ttl_s == 1.0005


@pytest.mark.parametrize("field", ["items", "events"])
def test_answer_with_many_faults_is_not_understood_at_the_first(field):
    rows = ",".join(["1"] * 10_000)
    result = decode(ReadRange("p/"), f'{{"{field}": [{rows}]}}')
    assert is_not_understood(result)
    assert result.reason == "store answer has 1 faults"
