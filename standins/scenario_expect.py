"""Checks the expect steps of a scenario."""

import typing

from standins import scenario_checks as checks
from standins import scenario_models as models

if typing.TYPE_CHECKING:
    from standins import scenario


def check(runner: "scenario.Runner", expect: models.Expect) -> None:
    """Check one expect step and add failures to the runner's problems."""
    if expect.of:
        _check_outcomes(runner, expect)
    if expect.received is not None or expect.received_at_most is not None:
        _check_received(runner, expect)
    if expect.last_new_work:
        _check_last_work(runner, expect)
    if expect.exit:
        name = runner.fleet.resolve(expect.exit)
        code = runner.running.wait(name, expect.within)
        if code != 0:
            runner.add_problem(f"{expect.exit} exited with code {code}, not 0")
    if expect.never_back:
        for problem in checks.check_never_back(
            runner.callers.probes[expect.never_back]
        ):
            runner.add_problem(problem)
    if expect.tier_order:
        _check_tier_order(runner)


def _check_tier_order(runner: "scenario.Runner") -> None:
    names = [i["name"] for i in runner.fleet.instances]
    sheds = checks.read_shed_requests(
        runner.fleet.folder, names, runner.endpoints
    )
    passed = sum(shed.lower_started > 0 for shed in sheds)
    runner.write_trace(
        f"  {len(sheds)} requests shed; during the wait of {passed} of them "
        "a request of a lower tier was started"
    )
    for shed in sheds:
        if shed.lower_served:
            runner.add_problem(
                f"tier {shed.tier} was shed with {shed.code}, "
                f"{shed.waited:.2f} s after it arrived, while "
                f"{shed.lower_served} requests of lower tiers were served"
            )


def _check_outcomes(runner: "scenario.Runner", expect: models.Expect) -> None:
    records = runner.callers.get_records(expect.of)
    sent = sum(r.by == expect.of for r in runner.callers.records)
    last = [record.last for record in records]
    whole = sum(outcome.whole for outcome in last)
    counts = {
        "whole": whole,
        "not_run": sum(outcome.ran == "not run" for outcome in last),
        "cut": sum(
            not outcome.whole and outcome.status == 200 for outcome in last
        ),
    }
    counts["unknown"] = len(last) - counts["whole"] - counts["not_run"]
    runner.write_trace(f"  {expect.of}: {len(last)} of {sent} ended, {counts}")
    for name, count in counts.items():
        wanted = getattr(expect, name)
        if wanted == "all":
            wanted = sent
        if wanted is not None and count != wanted:
            runner.add_problem(f"{expect.of}: {count} {name}, not {wanted}")
    if expect.whole_at_least is not None and whole < expect.whole_at_least:
        runner.add_problem(f"{expect.of}: {whole} complete answers, too few")
    _check_codes(runner, expect)
    _check_durations(runner, expect)


def _check_codes(runner: "scenario.Runner", expect: models.Expect) -> None:
    if expect.codes is None:
        return
    given = {
        attempt.outcome.code
        for record in runner.callers.get_records(expect.of)
        for attempt in record.attempts
        if attempt.outcome.code is not None
    }
    if given - set(expect.codes):
        runner.add_problem(
            f"{expect.of}: unexpected codes among {sorted(given)}"
        )


def _check_durations(runner: "scenario.Runner", expect: models.Expect) -> None:
    if expect.answered_within is None:
        return
    for record in runner.callers.get_records(expect.of):
        for attempt in record.attempts:
            seconds = attempt.ended - attempt.began
            if seconds > expect.answered_within:
                runner.add_problem(
                    f"{record.tag.lstrip('.')} had its outcome after "
                    f"{seconds:.3f} s, not within {expect.answered_within:g}"
                )


def _check_received(runner: "scenario.Runner", expect: models.Expect) -> None:
    tags = {r.tag for r in runner.callers.records if r.by == expect.of}
    count = sum(arrival.tag in tags for arrival in runner.read_arrivals())
    runner.write_trace(f"  {expect.of}: {count} received")
    if expect.received is not None and count != expect.received:
        runner.add_problem(
            f"{expect.of}: {count} received, not {expect.received}"
        )
    most = expect.received_at_most
    if most is not None and count > most:
        runner.add_problem(f"{expect.of}: {count} received, more than {most}")


def _check_last_work(runner: "scenario.Runner", expect: models.Expect) -> None:
    named = expect.last_new_work
    endpoints = [
        e["name"]
        for e in runner.fleet.endpoints
        if named in (e["name"], e["data_centre"])
    ]
    last, problems = checks.check_last_work(
        runner.read_arrivals(),
        endpoints,
        runner.get_order_time(named),
        expect.within,
    )
    runner.write_trace(f"  last new work {last:.3f} s after the edit")
    for problem in problems:
        runner.add_problem(problem)
