"""Configuration editor: outcome of a write when the store loses answers."""

from __future__ import annotations

import pytest

from lagoonpulley.configuration.editor import ConfigurationEditor
from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.standin.store import StoreState
from lagoonpulley.store.messages import Put


class LossyStore:
    """A store that performs or drops writes and loses a number of answers."""

    def __init__(self, performs: bool, lost_answers: int) -> None:
        self.state = StoreState()
        self.performs = performs
        self.lost_answers = lost_answers

    def call(self, operation):
        if self.performs or not isinstance(operation, Put):
            result = self.state.apply(operation, 0.0)
        if not isinstance(operation, Put) and self.lost_answers <= 1:
            return result
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return CallFailed(Ran.MAYBE, "lost")
        return result


def save_through(store):
    editor = ConfigurationEditor(store)
    lost_answers, store.lost_answers = store.lost_answers, 0
    base = editor.load().ok
    store.lost_answers = lost_answers
    document = base.document.model_copy(update={"revision": 1})
    return editor.save(base, document)


@pytest.mark.parametrize("lost_answers", [0, 1, 3])
def test_write_with_a_lost_answer_succeeds(lost_answers):
    store = LossyStore(performs=True, lost_answers=lost_answers)
    assert save_through(store).is_ok()
    assert store.state.revision == 1


def test_lost_write_is_not_reported_as_success():
    failure = save_through(LossyStore(performs=False, lost_answers=1)).error
    assert failure.may_have_been_applied
    assert not failure.is_conflict


def test_unanswered_write_may_have_been_applied():
    failure = save_through(LossyStore(performs=True, lost_answers=99)).error
    assert failure.may_have_been_applied
