"""Documents of registered entries, and the comparison of their capacities."""

from __future__ import annotations

import pytest
from tests.support.steps import STRONG, WEAK

from lagoonpulley.owner.entries import (
    EntryCapacity,
    EntryDocument,
    addresses_of,
    stronger_entries,
)
from lagoonpulley.store.messages import KeyValue

ADDRESS = "10.0.0.1:1"


def make_document(name, capacity=None):
    return EntryDocument(
        name=name, life="1", peer_address=ADDRESS, data_centre="a", capacity=capacity
    )


def make_item(document):
    return KeyValue(document.name, document.model_dump_json(), 1)


def test_document_of_earlier_release_has_unknown_capacity():
    text = (
        '{"name": "e0", "life": "1", "peer_address": "10.0.0.1:1", "data_centre": "a"}'
    )
    assert EntryDocument.model_validate_json(text) == make_document("e0")


def test_document_reads_back_equal():
    capacity = EntryCapacity(processors_milli=2151, link_mbps=10.1)
    document = make_document("e0", capacity)
    text = document.model_dump_json()
    assert EntryDocument.model_validate_json(text) == document


@pytest.mark.parametrize(
    ("processors_milli", "link_mbps", "expected"),
    [
        (1000, 10.0, True),
        (500, 20.0, True),
        (999, 19.0, False),
        (2000, 9.0, False),
        (499, 200.0, False),
    ],
)
def test_capacity_is_much_stronger(processors_milli, link_mbps, expected):
    capacity = EntryCapacity(processors_milli=processors_milli, link_mbps=link_mbps)
    assert capacity.is_much_stronger_than(WEAK) is expected


def test_stronger_entries_leave_out_own_and_unknown_entries():
    items = [
        make_item(make_document("own", STRONG)),
        make_item(make_document("weak", WEAK)),
        make_item(make_document("unknown")),
        make_item(make_document("strong", STRONG)),
        KeyValue("other", "not a document", 1),
    ]
    found = stronger_entries(items, "own", WEAK)
    assert [document.name for document in found] == ["strong"]
    assert stronger_entries(items, "own", None) == []


@pytest.mark.parametrize(("processors_milli", "link_mbps"), [(0, 10.0), (500, 0.0)])
def test_capacity_with_unknown_limit_is_unknown(processors_milli, link_mbps):
    assert EntryCapacity.from_limits(processors_milli, link_mbps) is None


def make_odd_item(odd):
    text = make_document("odd", STRONG).model_dump_json()
    return KeyValue("odd", text[:-1] + "," + odd + "}", 1)


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1:abc", "10.0.0.1", "e0", "\\u0000:1"],
)
def test_entry_document_with_an_address_that_is_none_spares_the_others(address):
    odd = make_odd_item(f'"peer_address": "{address}"')
    found = addresses_of([odd, make_item(make_document("e1"))], "own")
    assert found == {"e1": ADDRESS}


@pytest.mark.parametrize("value", ["9" * 4000, "9" * 400, "0", "-1", "NaN", "1e999"])
@pytest.mark.parametrize("field", ["processors_milli", "link_mbps"])
def test_entry_document_with_a_capacity_out_of_range_spares_the_others(field, value):
    capacity = '"processors_milli": 2000, "link_mbps": 20.0'
    odd = make_odd_item(f'"capacity": {{{capacity}, "{field}": {value}}}')
    items = [odd, make_item(make_document("strong", STRONG))]
    found = stronger_entries(items, "own", WEAK)
    assert [document.name for document in found] == ["strong"]


def test_entry_document_that_is_deeply_nested_spares_the_others():
    odd = make_odd_item('"unknown": ' + "[" * 50_000 + "]" * 50_000)
    found = addresses_of([odd, make_item(make_document("e1"))], "own")
    assert found == {"e1": ADDRESS}
