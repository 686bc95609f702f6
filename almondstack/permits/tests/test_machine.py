import os

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from almondstack.model import PermitCount
from almondstack.permits import PermitRequest, TransferTotals
from almondstack.testing.permit_machine import PermitMachine
from almondstack.testing.permit_world import NORTH, PermitWorld

_EXAMPLES = int(os.environ.get("ALMONDSTACK_MACHINE_EXAMPLES", "40"))


def test_permit_bounds_hold_under_faults():
    run_state_machine_as_test(
        PermitMachine, settings=settings(max_examples=_EXAMPLES, stateful_step_count=50)
    )


def test_transfer_of_a_fenced_entry_is_ignored_once_it_is_settled():
    world = PermitWorld(ceiling=6)
    for number in range(3):
        world.add_node(number, rate=1.0)
    for _ in range(3):
        world.run_round()
    sender, receiver, _ = world.nodes
    sender.permits.handle_request(receiver.incarnation, PermitRequest((PermitCount(NORTH, 1),)))
    late = [item for item in world.messages if isinstance(item.body, TransferTotals)]
    assert len(late) == 1
    sender.is_paused = True
    world.run_for(8.0, has_links=False)
    assert receiver.incarnation not in world.head.state.settlements[sender.incarnation].waiting
    held = receiver.permits.held_count(NORTH)
    world.messages[:] = late
    world.deliver(0)
    assert receiver.permits.held_count(NORTH) == held
    world.check()
