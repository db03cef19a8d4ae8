"""Owners that hand over to a much stronger entry, and when they do not."""

from __future__ import annotations

from tests.support.steps import STRONG, WEAK, StepWorld, step

from lagoonpulley.model.verdict import Ran
from lagoonpulley.owner import session
from lagoonpulley.owner.entries import ENTRIES_PREFIX, EntryDocument
from lagoonpulley.owner.handover import MAX_REQUIRED_S, HandoverMonitor
from lagoonpulley.owner.settings import OwnerSettings
from lagoonpulley.runtime.flows import Sleep
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.store.messages import KeyValue, RenewLease

WEAK_NAMES = ("w0", "w1", "w2")


def make_world(entries=WEAK_NAMES):
    """Return a world whose only entries are weak, which has settled."""
    world = StepWorld(entries=0)
    for name in entries:
        world.capacity_by_name[name] = WEAK
        world.start_entry(name)
    world.run(2.0)
    return world


def start_strong_entry(world):
    world.capacity_by_name["s0"] = STRONG
    return world.start_entry("s0")


def has_owner(world):
    entries = world.entry_by_name.values()
    return any(entry.alive and entry.owner._term is not None for entry in entries)


def test_weak_owner_hands_over_to_a_much_stronger_entry():
    world = make_world()
    first = world.owner()
    world.submit("a" * 16, step(count=3), payload="seconds=12")
    start_strong_entry(world)
    world.run_until(lambda: first.owner._term is None, 9.0)
    world.run_until(lambda: has_owner(world), 1.0)
    assert world.owner().name == "s0"
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 20.0)
    assert len(world.executions("a" * 16)) == 3
    assert world.owner().name == "s0"


def test_entry_that_handed_over_registers_and_stands_for_election_again(monkeypatch):
    events = []
    monkeypatch.setattr(session, "log_event", lambda event, **_: events.append(event))
    world = make_world()
    first = world.owner()
    start_strong_entry(world)
    world.run_until(lambda: first.owner._term is None, 9.0)
    world.run(2.0)
    assert ENTRIES_PREFIX + first.name in world.store.key_value_by_key
    # The revoked session is not renewed again.
    assert "session_lapsed" not in events
    for entry in world.entry_by_name.values():
        if entry is not first:
            world.kill(entry)
    world.run_until(lambda: first.owner._term is not None, 2.5)


def test_owner_stays_if_the_other_entries_are_not_much_stronger():
    world = make_world()
    first = world.owner()
    world.capacity_by_name["s0"] = WEAK.model_copy(update={"processors_milli": 900})
    world.start_entry("s0")
    world.run(30.0)
    assert world.owner() is first


def test_weak_owner_waits_until_the_stronger_entry_stays_registered():
    world = make_world()
    first = world.owner()
    world.run(10.0)
    for _ in range(5):
        entry = start_strong_entry(world)
        world.run(2.0)
        world.kill(entry)
        world.run(2.0)
    assert world.owner() is first


def test_entry_that_was_passed_over_is_not_offered_the_ownership_again_at_once():
    world = make_world()
    strong = start_strong_entry(world)
    # It stays registered but is never elected.
    strong.roles["session"]._attempt_election = lambda: iter([Sleep(0.5)])
    began_at = []
    tokens = set()
    for _ in range(120):
        world.run(0.5)
        token = world.owner().owner._term.token if has_owner(world) else None
        if token and token not in tokens:
            tokens.add(token)
            began_at.append(world.clock.mono)
    assert len(began_at) >= 4
    later = began_at[2:]
    pauses = [after - before for before, after in zip(began_at[1:], later)]
    assert all(pause >= 15.0 for pause in pauses)


def test_owner_that_cannot_load_the_jobs_hands_over_as_well():
    world = make_world()
    first = world.owner()
    first.owner._term.loaded = False
    start_strong_entry(world)
    world.run_until(lambda: first.owner._term is None, 9.0)


def fail_renewals_of_owner(world, entry):
    """Fail the session renewals of an entry while it is the owner."""
    call_store = world._call_store

    def call(caller, request):
        is_renewal = isinstance(request.operation, RenewLease)
        if not is_renewal or caller is not entry or entry.owner._term is None:
            call_store(caller, request)
            return
        failed = CallFailed(Ran.NO, "the request was lost")
        # Not by _reply_store, as another entry would then relay the call.
        world.clock.after(0.05, lambda: world._reply(caller, request, failed))

    world._call_store = call


def test_owner_does_not_keep_handing_over_to_an_entry_that_loses_its_sessions():
    world = make_world(entries=("w0",))
    weak = world.owner()
    strong = start_strong_entry(world)
    fail_renewals_of_owner(world, strong)
    handed_over_at = []
    step_down = weak.owner.step_down

    def record_step_down(reason):
        handed_over_at.append(world.clock.mono)
        step_down(reason)

    weak.owner.step_down = record_step_down
    world.run(60.0)
    # The first after 5 s, then after 15 and 30 s of a term.
    assert 2 <= len(handed_over_at) <= 3
    pauses = [b - a for a, b in zip(handed_over_at, handed_over_at[1:])]
    assert pauses == sorted(pauses)
    assert pauses[0] >= 15.0


def wait_for_handover(monitor, entries, began_at):
    """Begin a term, and return how long it takes to find a successor."""
    monitor.begin_term((), began_at)
    for tenths in range(10_000):
        if monitor.find_successor(entries, began_at + tenths / 10):
            return tenths / 10
    raise AssertionError("no successor")


def make_monitor():
    """Return a monitor of a weak entry, and the registration of a strong one."""
    monitor = HandoverMonitor(OwnerSettings("w0", 6.0, capacity=WEAK))
    document = EntryDocument(
        name="s0",
        life="1",
        peer_address="10.0.0.1:1",
        data_centre="a",
        capacity=STRONG,
    )
    key = ENTRIES_PREFIX + document.name
    return monitor, (KeyValue(key, document.model_dump_json(), 1),)


def test_wait_for_an_entry_that_does_not_stay_owner_doubles_up_to_a_bound():
    monitor, entries = make_monitor()
    now = 0.0
    waits = []
    for _ in range(7):
        waits.append(wait_for_handover(monitor, entries, now))
        now += waits[-1] + 1.0
    assert waits == [5.0, 15.0, 30.0, 60.0, 120.0, 240.0, 240.0]


def test_entry_that_stayed_owner_for_long_is_handed_over_to_soon_again():
    monitor, entries = make_monitor()
    assert wait_for_handover(monitor, entries, 0.0) == 5.0
    assert wait_for_handover(monitor, entries, 6.0) == 15.0
    now = 6.0 + 15.0 + MAX_REQUIRED_S + 1.0
    assert wait_for_handover(monitor, entries, now) == 5.0
