"""Past use of the teams over a change of the owner."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

from lagoonpulley.owner.settings import ShareSettings
from lagoonpulley.owner.team_use import TEAM_USE_KEY

SHARES = ShareSettings(half_life_s=600.0)
TEAMS = {"north": [0, 0, 0], "south": [0, 0, 0]}


def make_world():
    world = StepWorld(shares=SHARES)
    world.set_policy(2, teams=TEAMS)
    world.run(7.0)
    return world


def past_share(world, team):
    return world.owner().owner._term.team_use.past_share(team)


def test_past_use_survives_the_death_of_the_owner():
    world = make_world()
    big = step(count=3, processors=16_000)
    world.submit("a" * 16, big, payload="seconds=60", team="north")
    world.run(45.0)
    before = past_share(world, "north")
    assert before > 0.02
    world.kill(world.owner())
    world.run(6.0)
    assert past_share(world, "north") > before * 0.7
    assert past_share(world, "south") == 0.0


def test_damaged_document_of_past_use_delays_no_start():
    world = make_world()
    world.put(TEAM_USE_KEY, "{")
    world.kill(world.owner())
    world.run(4.0)
    world.submit("a" * 16, payload="seconds=0.5", team="north")
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 4.0)
