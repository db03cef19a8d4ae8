"""Tests of the limits on requests in flight."""

from __future__ import annotations

import pytest

from lagoonpulley.gateway.admission import Admission
from lagoonpulley.gateway.problems import Problem
from lagoonpulley.settings.schema import AdmissionSettings


@pytest.fixture
def admission():
    return Admission(
        AdmissionSettings(waiting_callers=2, bytes_in_flight=3000, body_bytes=2000)
    )


def refusal_of(admission, body_bytes):
    with pytest.raises(Problem) as raised, admission.admit(body_bytes):
        pass
    response = raised.value.to_response()
    return response.status_code, response.headers.get("Retry-After")


def test_admission_bounds_callers(admission):
    with admission.admit(1), admission.admit(1):
        assert refusal_of(admission, 1) == (503, "1")
    with admission.admit(1):
        assert admission.in_flight == 1


def test_admission_bounds_bytes(admission):
    with admission.admit(2000):
        assert refusal_of(admission, 1500) == (503, "1")
    assert refusal_of(admission, 2001) == (413, None)


def test_admission_refuses_when_stopping(admission):
    admission.stop()
    assert refusal_of(admission, 1)[0] == 503
