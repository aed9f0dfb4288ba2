"""Tests of the table of losses: sum and reasons."""

import testtools

from measures import losses

SHEET = {
    "classes": [
        {
            "name": "draft",
            "kind": "stream",
            "aim_ms": 800,
            "worth": 9.0,
            "late_worth": 3.0,
            "stream": {"prompt_tokens": {"mean": 6000.0}},
        },
        {
            "name": "tag",
            "kind": "stream",
            "aim_ms": 800,
            "worth": 1.0,
            "late_worth": 0.5,
            "stream": {"prompt_tokens": {"mean": 600.0}},
        },
    ]
}

REPORT = {
    "G": 0.62,
    "parts": [["whole day", 0.8, 0.75], ["worst class", 0.2, 0.5]],
    "prices": [["machine-seconds", 100.0, 0.05], ["worth refused", 9, 0.03]],
    "classes": [
        {
            "name": "draft",
            "n": 4,
            "not_owed": 0,
            "late": 1,
            "refused": 0,
            "failed": 1,
            "worth": 0.7,
        },
        {
            "name": "tag",
            "n": 4,
            "not_owed": 0,
            "late": 0,
            "refused": 2,
            "failed": 0,
            "worth": 0.5,
        },
    ],
}


def make_ended(route: str, **fields: object) -> dict:
    """Return the log line of a request that was answered in time."""
    line = {
        "event": "request_ended",
        "request": f"{route}-1",
        "route": route,
        "repeat": "stream",
        "objective": 0.8,
        "max_gap": 0.5,
        "outcome": "answered",
        "status": 200,
        "code": 0,
        "waited": 0.0,
        "first": 0.1,
        "longest": 0.1,
    }
    return line | fields


LINES = [
    {"event": "request_sent", "request": "r1-1", "prompt": 5500},
    {"event": "request_sent", "request": "r2-1", "prompt": 700},
    make_ended("r1"),
    make_ended("r1", waited=0.9, first=1.2),
    make_ended("r1", outcome="cut", code=3001),
    make_ended("r2", outcome="refused", code=2101, waited=1.0, status=503),
    {
        "event": "request_refused",
        "request": "x",
        "route": "r2",
        "code": 2003,
    },
]


class LossesTest(testtools.TestCase):
    """Each loss of a day is counted once and has a reason."""

    def test_losses_add_up_to_the_missing_score(self) -> None:
        """The sum of all losses is one minus the score of the day."""
        table = losses.compute_losses(SHEET, REPORT, LINES)
        total = sum(sum(part.values()) for part in table.values())
        self.assertAlmostEqual(1 - REPORT["G"], total)

    def test_routes_are_known_by_their_traits(self) -> None:
        """Routes with equal traits are told apart by the prompt length."""
        found = losses.match_routes(LINES, losses.read_kinds(SHEET))
        self.assertEqual("draft", found["r1"].name)
        self.assertEqual("tag", found["r2"].name)

    def test_reasons(self) -> None:
        """Late answers, cut answers and refusals have separate reasons."""
        table = losses.compute_losses(SHEET, REPORT, LINES)
        self.assertEqual(
            {
                "late: waited here for a place",
                "failed: cut at the endpoint",
            },
            set(table["draft"]),
        )
        self.assertEqual(
            {
                "refused: overloaded after a wait",
                "refused: token_limit at once",
            },
            set(table["tag"]),
        )

    def test_truncated_line_is_skipped(self) -> None:
        """A line truncated by a kill is skipped."""
        text = '1.0 a {"at":1,"event":"ready"}\n1.0 a {"at":1,"ev'
        self.assertEqual(1, len(list(losses.read_lines(text))))
