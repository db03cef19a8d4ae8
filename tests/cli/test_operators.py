"""Tests of the sheet, key and config commands against a simulated store."""

from __future__ import annotations

import json

import pytest

from lagoonpulley.cli import sheet as sheet_command
from lagoonpulley.cli.main import main
from lagoonpulley.standin.cell import StandinCell, StandinPlan
from lagoonpulley.store.messages import Put

SHEET = "Team;Queue;Share\nnorth;reviews;1\nsouth;packets;2\n"


@pytest.fixture(scope="module")
def cell():
    made = StandinCell.from_plan(StandinPlan(("timisoara",), 1))
    yield made
    made.close()


@pytest.fixture
def run(cell, tmp_path, capsys):
    cell.store._state.key_value_by_key.clear()
    settings = tmp_path / "settings.json"
    settings.write_text(
        json.dumps(
            {
                "entry_id": "timisoara-1",
                "data_centre": "timisoara",
                "data_centres": ["timisoara"],
                "store": {"url": cell.store_url},
            }
        )
    )

    def command(*words, sheet=None):
        words = list(words)
        if sheet is not None:
            path = tmp_path / "sheet.csv"
            path.write_text(sheet)
            words.insert(2, str(path))
        code = main([*words, "--settings", str(settings)])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return command


def test_sheet_apply_is_safe_to_repeat(run):
    assert run("sheet", "apply", sheet=SHEET)[1].endswith("applied as revision 1\n")
    assert "nothing to change, revision 1" in run("sheet", "apply", sheet=SHEET)[1]


def test_sheet_with_an_error_changes_nothing(run):
    code, _, error = run("sheet", "apply", sheet=SHEET + "x;y;z\n")
    assert code == 1
    assert "line 4, column 3" in error
    assert '"revision": 0' in run("config", "show")[1]


def test_sheet_removals_need_allow_removals(run):
    run("sheet", "apply", sheet=SHEET)
    less = "Team;Queue;Share\nnorth;reviews;1\n"
    assert "- team south" in run("sheet", "diff", sheet=less)[1]
    code, out, error = run("sheet", "apply", sheet=less)
    assert (code, "- queue packets" in out) == (1, True)
    assert "--allow-removals" in error
    assert run("sheet", "apply", "--allow-removals", sheet=less)[0] == 0


def test_sheet_with_an_outdated_base_is_refused_with_a_new_diff(run):
    run("sheet", "apply", sheet=SHEET)
    run("key", "grant", "north")
    changed = SHEET.replace("south;packets;2", "south;packets;3")
    code, out, error = run("sheet", "apply", "--base", "1", sheet=changed)
    assert code == 1
    assert "~ team south" in out
    assert "revision 2 is current" in error


def test_sheet_apply_with_a_write_conflict_shows_a_new_diff(run, cell, monkeypatch):
    run("sheet", "apply", sheet=SHEET)
    original = sheet_command.apply_content

    def apply_after_other_write(document, content):
        state = cell.store._state
        known = state.key_value_by_key["lagoonpulley/configuration"]
        other = document.model_copy(update={"revision": document.revision + 1})
        put = Put(known.key, other.model_dump_json(), known.revision, "other")
        assert state.apply(put, 0.0).ok
        return original(document, content)

    monkeypatch.setattr(sheet_command, "apply_content", apply_after_other_write)
    changed = SHEET.replace("south;packets;2", "south;packets;3")
    code, out, error = run("sheet", "apply", sheet=changed)
    assert code == 1
    assert "against revision 2" in out
    assert "another operator" in error


def test_keys_are_granted_listed_and_withdrawn(run):
    run("sheet", "apply", sheet=SHEET)
    key = run("key", "grant", "north")[1].strip()
    key_id = key.split("_")[1]
    assert run("key", "list")[1] == f"{key_id} north\n"
    assert key not in run("config", "show")[1]
    assert run("key", "withdraw", key)[0] == 0
    assert run("key", "list")[1] == ""
    assert run("key", "grant", "nobody")[0] == 1
    assert run("key", "withdraw", "nothing")[0] == 1
