"""``almondctl waves``: plans, starts, pauses, resumes, aborts and follows maintenance waves."""

import argparse
import threading
from typing import Any

import msgspec

from almondstack.core import SystemClock
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.report import operator_view
from almondstack.ctl.session import OperatorSession
from almondstack.fleet import DrainEstimates, due_times
from almondstack.fold.waves import wave_members
from almondstack.keeper.status import WaveProgress, wave_progress
from almondstack.model import (
    FleetState,
    WaveChanged,
    WavePhase,
    WaveSpec,
    WaveStarted,
    WaveState,
)

__all__ = ["PlannedPool", "WavePlan", "WaveReport", "plan_wave"]

_VERDICT_TIMEOUT_S = 10.0
_FOLLOW_INTERVAL_S = 1.0
_S_PER_DAY = 86_400.0
_PHASE_AFTER_ACTION = {
    "pause": WavePhase.PAUSED,
    "resume": WavePhase.RUNNING,
    "abort": WavePhase.ABORTED,
}


class PlannedPool(msgspec.Struct, frozen=True):
    """Effect that a wave would have on one pool; due times are in days after its start."""

    pool: str
    instances: int
    serving: int
    min_serving: int
    at_once: int
    first_due_day: float
    last_due_day: float


class WavePlan(msgspec.Struct, frozen=True):
    """Result of ``waves plan``; planning appends no record."""

    wave: str
    pools: list[PlannedPool]


class WaveReport(msgspec.Struct, frozen=True):
    """Result of ``waves status``: progress of every wave."""

    waves: list[WaveProgress]


class WaveVerdict(msgspec.Struct, frozen=True):
    """Result of a change to a wave; ``refusal`` is empty if it was accepted."""

    wave: str
    phase: str
    refusal: str = ""
    detail: str = ""


def plan_wave(state: FleetState, spec: WaveSpec) -> WavePlan:
    """Return the effect of a wave on each pool if it started now."""
    members = wave_members(state, spec)
    due = due_times(state, WaveState(spec=spec, members=members))
    by_pool: dict[str, list[str]] = {}
    for name in members:
        by_pool.setdefault(state.instances[name].pool, []).append(name)
    planned = [_planned_pool(state, spec, pool, by_pool[pool], due) for pool in sorted(by_pool)]
    return WavePlan(spec.name, planned)


def _planned_pool(
    state: FleetState, spec: WaveSpec, pool: str, names: list[str], due: dict[str, float]
) -> PlannedPool:
    min_serving = state.pools[pool].min_serving if pool in state.pools else 0
    serving = state.serving_count(pool)
    days = [(due[name] - spec.started_s) / _S_PER_DAY for name in names]
    at_once = max(serving - min_serving, 0)
    return PlannedPool(pool, len(names), serving, min_serving, at_once, min(days), max(days))


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    for action in ("plan", "start"):
        sub = actions.add_parser(action, help=f"{action} a wave")
        sub.add_argument("wave", help="name of the wave")
        sub.add_argument("--pool", action="append", default=[], help="only this pool; repeatable")
        sub.add_argument(
            "--window-days", type=float, default=0.0, help="number of days to spread the wave over"
        )
        sub.add_argument(
            "--failures", type=int, default=2, help="number of failures that stops the wave"
        )
    for action in _PHASE_AFTER_ACTION:
        sub = actions.add_parser(action, help=f"{action} a wave")
        sub.add_argument("wave", help="name of the wave")
        sub.add_argument("--reason", default="", help="reason, shown by almondctl explain")
    actions.add_parser("status", help="progress of every wave")
    follow = actions.add_parser("follow", help="print progress until the wave ends")
    follow.add_argument("wave", help="name of the wave")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    session.catch_up()
    action = arguments.action
    if action == "plan":
        context.printer.result(plan_wave(session.fold.state, _spec(arguments)))
        return ExitCode.OK
    if action == "start":
        started = WaveStarted(_spec(arguments), context.settings.operator)
        return _submit(context, session, arguments.wave, WavePhase.RUNNING, started)
    if action == "status":
        context.printer.result(WaveReport(_progress(session.fold.state)))
        return ExitCode.OK
    if arguments.wave not in session.fold.state.waves:
        context.printer.progress(f"there is no wave {arguments.wave}")
        return ExitCode.NOT_FOUND
    if action == "follow":
        return _follow(context, session, arguments.wave)
    phase = _PHASE_AFTER_ACTION[action]
    version = session.fold.state.waves[arguments.wave].version
    reason = arguments.reason or f"{action} by {context.settings.operator or 'an operator'}"
    changed = WaveChanged(arguments.wave, version, phase, reason)
    return _submit(context, session, arguments.wave, phase, changed)


def _spec(arguments: argparse.Namespace) -> WaveSpec:
    return WaveSpec(
        name=arguments.wave,
        pools=tuple(arguments.pool),
        started_s=SystemClock().unix(),
        window_s=arguments.window_days * _S_PER_DAY,
        failure_threshold=arguments.failures,
    )


def _submit(
    context: CommandContext, session: OperatorSession, wave: str, phase: WavePhase, body: Any
) -> ExitCode:
    verdict = session.append(body, _VERDICT_TIMEOUT_S)
    session.stop()
    if verdict is None:
        return ExitCode.UNAVAILABLE
    refusal = verdict.refusal.value if verdict.refusal is not None else ""
    context.printer.result(WaveVerdict(wave, phase, refusal, verdict.detail))
    return ExitCode.OK if verdict.is_accepted else ExitCode.CONFLICT


def _follow(context: CommandContext, session: OperatorSession, name: str) -> ExitCode:
    session.start()
    clock = SystemClock()
    printed: WaveProgress | None = None
    while True:
        progress = next(p for p in _progress(session.fold.state) if p.wave == name)
        if progress != printed:
            printed = progress
            context.printer.line(progress, _progress_text(progress))
        if progress.phase in (WavePhase.ENDED, WavePhase.ABORTED, WavePhase.STOPPED):
            session.stop()
            return ExitCode.OK if progress.phase == WavePhase.ENDED else ExitCode.FAULTS
        clock.wait(threading.Event(), _FOLLOW_INTERVAL_S)


def _progress(state: FleetState) -> list[WaveProgress]:
    return wave_progress(operator_view(state), DrainEstimates())


def _progress_text(progress: WaveProgress) -> str:
    counts = f"{progress.done}/{progress.members} done, {progress.set_aside} set aside"
    left = f", about {progress.remaining_s:.0f} s left" if progress.remaining_s else ""
    return f"{progress.wave} {progress.phase}: {counts}, {progress.out} out{left}"


register_command(Command("waves", "Plan and run maintenance waves.", _add_arguments, _run))
