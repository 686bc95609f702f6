"""Tests of which keeper appends a proposal, and when the next one takes over."""

from almondstack.fleet import FleetSettings, Proposal, rank_of
from almondstack.keeper.gate import ProposalGate
from almondstack.model import EntryState, FleetState

_SETTINGS = FleetSettings(takeover_s=3.0)
_NAMES = ["e1", "e2", "e3"]


def _state():
    entries = {
        name: EntryState(
            incarnation=name,
            name=name,
            zone="a",
            region="r",
            address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            level=1,
        )
        for name in _NAMES
    }
    return FleetState(entries=entries)


def _proposals(count):
    return [Proposal(f"u{number}@0/draining", f"pool/p{number}", None) for number in range(count)]


def test_each_proposal_passes_at_exactly_one_keeper_at_first():
    proposals = _proposals(30)
    passed = [
        item.key
        for name in _NAMES
        for item in ProposalGate(name, _SETTINGS).choose(proposals, _state(), 100.0)
    ]
    assert sorted(passed) == sorted(item.key for item in proposals)


def test_next_keeper_takes_over_when_the_first_does_not_propose():
    proposal = _proposals(1)[0]
    second = next(name for name in _NAMES if rank_of(name, _NAMES, proposal.subject) == 1)
    gate = ProposalGate(second, _SETTINGS)
    assert gate.choose([proposal], _state(), 100.0) == []
    assert gate.choose([proposal], _state(), 102.9) == []
    assert gate.choose([proposal], _state(), 103.0) == [proposal]
    assert gate.choose([proposal], _state(), 104.0) == []


def test_takeover_delay_restarts_when_a_proposal_was_not_planned_in_between():
    proposal = _proposals(1)[0]
    second = next(name for name in _NAMES if rank_of(name, _NAMES, proposal.subject) == 1)
    gate = ProposalGate(second, _SETTINGS)
    gate.choose([proposal], _state(), 100.0)
    gate.choose([], _state(), 102.0)
    assert gate.choose([proposal], _state(), 103.5) == []
