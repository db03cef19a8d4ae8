"""Records of other writers that would break the owner if they were accepted."""

from __future__ import annotations

import json

import pytest

from lagoonpulley.platform.documents import PlatformDirectory, PlatformPolicy
from lagoonpulley.store.messages import KeyValue

SERVER = {
    "service": '"desk"',
    "address": '"10.0.0.9:80"',
    "zone": '"a"',
    "version": '"v1"',
    "slots": "8",
    "state": '"ready"',
    "coldRemainingMs": "0",
    "seq": "4",
    "capacity": '{"cpu": 16000, "memMb": 32768, "gpu": 0}',
    "labels": '["a", "r1-3"]',
    "born": "1700000000000",
}
DEEP = "[" * 100_000 + "]" * 100_000
HUGE = "9" * 4000


def decode(key="servers/i-1", **change):
    """Decode a record; Python's JSON encoder would not write the numbers under test."""
    fields = SERVER | change
    text = ",".join(f'"{name}":{text}' for name, text in fields.items())
    return PlatformDirectory().decode(KeyValue(key, "{" + text + "}", 3))


def test_worker_record_with_every_field_is_accepted():
    worker = decode(drainRemainingMs="1500.5", unknown='{"nested": 1e999}').ok
    assert (worker.id, worker.address) == ("i-1", "10.0.0.9:80")
    assert worker.drain_remaining_s == 1.5005
    assert worker.born == 1700000000000


@pytest.mark.parametrize("cpu", ["0", "2000000", "1000000000"])
def test_worker_record_with_a_large_machine_is_accepted(cpu):
    assert decode(capacity=f'{{"cpu": {cpu}, "memMb": {cpu}}}').is_ok()


@pytest.mark.parametrize("port", ["0", "65536", "99999", "-1", "abc", "", HUGE])
def test_worker_record_with_a_port_out_of_range_is_refused(port):
    assert decode(address=f'"10.0.0.1:{port}"').is_error()


@pytest.mark.parametrize(
    "address", ["10.0.0.1 :80", "10.0.0.1\n:80", "10.0.0.1\0:80", "caf\u00e9:80", "a:1"]
)
def test_worker_record_with_an_address_that_is_none_is_refused(address):
    assert decode(address=json.dumps(address)).is_error()


@pytest.mark.parametrize("number", [HUGE, "9" * 400, "9" * 20, "-5", "1.5", "1e999"])
@pytest.mark.parametrize("field", ["born", "seq", "slots"])
def test_worker_record_with_a_number_out_of_range_is_refused(field, number):
    assert decode(**{field: number}).is_error()


@pytest.mark.parametrize("number", [HUGE, "9" * 400, "9" * 20, "-5", "NaN", "1e999"])
@pytest.mark.parametrize("resource", ["cpu", "memMb", "gpu"])
def test_worker_record_with_an_amount_out_of_range_is_refused(resource, number):
    assert decode(capacity=f'{{"{resource}": {number}}}').is_error()


@pytest.mark.parametrize("time", ["Infinity", "-Infinity", "NaN", "1e999", HUGE])
def test_worker_record_with_a_time_that_is_not_finite_is_refused(time):
    assert decode(drainRemainingMs=time).is_error()


def test_worker_record_whose_remaining_time_has_passed_is_accepted():
    assert decode(drainRemainingMs="-3", state='"draining"').is_ok()


@pytest.mark.parametrize(
    "key",
    [
        "servers/",
        "servers/caf\u00e9",
        "servers/i-1\r\nHost: other",
        "servers/i-1\0",
        "servers/i 1",
        "servers/" + "x" * 1000,
    ],
)
def test_worker_record_whose_name_cannot_be_sent_is_refused(key):
    assert decode(key).is_error()


@pytest.mark.parametrize("field", ["unknown", "labels", "born", "capacity"])
def test_worker_record_that_is_deeply_nested_is_refused(field):
    assert decode(**{field: DEEP}).is_error()


@pytest.mark.parametrize("text", ['"\\ud800"', '"\\udfff"', '"\ud800"'])
def test_worker_record_with_half_a_character_is_refused(text):
    assert decode(zone=text).is_error()


def test_reason_of_a_refused_record_is_short():
    labels = "[" + ",".join(["1"] * 10_000) + "]"
    reason = decode(labels=labels, service='"' + "x" * 100_000 + '"').error
    assert len(reason) < 200


def test_worker_record_with_many_faults_is_refused_at_the_first():
    labels = "[" + ",".join(["1"] * 10_000) + "]"
    assert decode(labels=labels).error == "worker record has 1 invalid fields"


ROUTE = '"name": "r", "prefix": "/r/", "service": "desk"'


def decode_policy(version="3", route="", tenant=""):
    text = (
        f'{{"version": {version}, "routes": [{{{ROUTE}{route}}}], "tenants": '
        f'[{{"name": "north"{tenant}}}]}}'
    )
    return PlatformPolicy().decode(KeyValue("op/config", text, 3))


@pytest.mark.parametrize(
    "number", ["0", "-1", "9007199254740993", "9223372036854775807"]
)
def test_policy_with_a_number_for_no_limit_is_accepted(number):
    route = f', "priority": {number}, "maxAttempts": {number}, "timeoutMs": {number}'
    tenant = f', "weight": {number}, "cap": {{"cpu": {number}}}'
    assert decode_policy(route=route, tenant=tenant).is_ok()


@pytest.mark.parametrize("number", [HUGE, "9" * 400, "-" + HUGE])
@pytest.mark.parametrize("field", ["priority", "maxAttempts"])
def test_policy_with_a_number_of_a_route_out_of_range_is_refused(field, number):
    assert decode_policy(route=f', "{field}": {number}').is_error()


@pytest.mark.parametrize("number", [HUGE, "9" * 400, "-" + HUGE])
def test_policy_with_a_version_out_of_range_is_refused(number):
    assert decode_policy(version=number).is_error()


@pytest.mark.parametrize("number", [HUGE, "NaN", "Infinity", "-1e999"])
@pytest.mark.parametrize("field", ["slackFactor", "targetDurationMs", "timeoutMs"])
def test_policy_with_a_time_that_is_not_finite_is_refused(field, number):
    assert decode_policy(route=f', "{field}": {number}').is_error()


@pytest.mark.parametrize("number", [HUGE, "NaN", "Infinity", "-1e999"])
@pytest.mark.parametrize("field", ["decideMs", "eachMs", "validMs"])
def test_policy_with_a_time_of_advice_that_is_not_finite_is_refused(field, number):
    assert decode_policy(route=f', "advice": {{"{field}": {number}}}').is_error()


@pytest.mark.parametrize("number", [HUGE, "NaN", "Infinity", "-1e999"])
def test_policy_with_a_weight_that_is_not_finite_is_refused(number):
    assert decode_policy(tenant=f', "weight": {number}').is_error()


@pytest.mark.parametrize("resource", ["cpu", "memMb", "gpu"])
def test_policy_with_an_amount_out_of_range_is_refused(resource):
    assert decode_policy(tenant=f', "cap": {{"{resource}": {HUGE}}}').is_error()


def test_policy_that_is_deeply_nested_is_refused():
    assert decode_policy(route=f', "unknown": {DEEP}').is_error()
