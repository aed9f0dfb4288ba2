"""Choice of endpoints by data centre, in an instance."""

import pathlib
import random
import tempfile

import testtools

from citronport import clock
from citronport.relay import core
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import wait_queue
from tests.relay import samples
from tests.relay import test_membership
from tests.relay import test_settings

RECORDED_CHOICES = (
    "10 6 0 10 6 3 3 11 10 4 4 4 4 1 4 8 4 7 5 5 7 8 9 11 9 1 11 1 4 3 9 2 5"
    " 5 8 8 0 2 9 9 10 0 2 2 2 11 6 6 6 3 3 0 3 7 1 4 5 5 8 9"
)
"""Endpoints that were chosen before data centres were taken into account."""

DATA_CENTRES = ("a", "b", "c")


class Handle:
    """Keeps the reservation of a request."""

    def __init__(self):
        self.reservation = None

    def set(self, reservation):
        """Keep the reservation."""
        self.reservation = reservation


class DispatcherCase(samples.DispatcherFixture):
    """An instance among many, which has no owner to ask.

    Args:
        number: number of endpoints, in the data centres by turns.
        instances: number of instances.
        service: service of the endpoints; the sample of engines by default.
    """

    def __init__(self, number, instances, service=None):
        super().__init__(
            [
                samples.make_endpoint(f"e{n}", data_centre=DATA_CENTRES[n % 3])
                for n in range(number)
            ],
            clock.ManualClock(),
            samples.make_configuration(services=service and (service,)),
        )
        for other in range(instances - 1):
            report = test_membership.make_report(f"i{other}")
            self.members.apply_report(report, 0.0)

    def choose(self, name, data_centre, *, leased=False, **changes):
        """Return the endpoint that a request gets, or None."""
        now = self.ticker.now()
        waiter = wait_queue.Waiter(
            work=samples.make_work(
                name, now=now, data_centre=data_centre, **changes
            ),
            waiting_since=now,
            handle=Handle(),
            leased=leased,
        )
        self.dispatcher.enqueue(waiter, samples.ENGINES)
        self.dispatcher.cancel(waiter, samples.ENGINES)
        found = waiter.handle.reservation
        return found and found.endpoint


def replay_choices():
    """Return the numbers of the endpoints that recorded requests get."""
    random.seed(7)
    draw = random.Random(11)
    room = DispatcherCase(12, 30)
    for number in range(12):
        room.board.apply_step_ms("other", f"e{number}", draw.uniform(1, 8))
    chosen = []
    for number in range(60):
        endpoint = room.choose(
            f"r{number}",
            draw.choice((*DATA_CENTRES, "")),
            leased=draw.random() < 0.5,
            prompt_tokens=draw.randrange(100, 4000),
        )
        chosen.append(endpoint.name[1:] if endpoint else "-")
        if draw.random() < 0.4 and endpoint:
            room.board.record_end(endpoint.name, f"r{number}")
    return " ".join(chosen)


class DispatcherTest(testtools.TestCase):
    """Own requests and requests of other instances."""

    def test_setting_0_chooses_as_before(self):
        """Guards against data centres that count without the setting."""
        self.assertEqual(RECORDED_CHOICES, replay_choices())

    def test_data_centre_of_the_sender_counts(self):
        """Guards against a lease near the owner instead of the sender."""
        room = DispatcherCase(3, 2)
        room.dispatcher.update_scheduling(
            settings_module.Scheduling(remote_penalty=0.3)
        )
        for place in (*DATA_CENTRES, *DATA_CENTRES):
            found = room.choose(f"r {place}", place, leased=True)
            self.assertEqual(place, found.data_centre)

    def test_sample_holds_the_only_local_endpoint(self):
        """Guards against work that leaves a data centre with a free slot.

        Three endpoints and 63 instances give a sample of one endpoint.
        """
        service = samples.make_service(engine=None, cold_rate=0.0)
        room = DispatcherCase(3, 63, service)
        room.dispatcher.update_scheduling(
            settings_module.Scheduling(remote_penalty=0.3)
        )
        places = []
        for number in range(20):
            found = room.choose(f"r{number}", "b", prompt_tokens=0)
            room.board.record_end(found.name, f"r{number}")
            places.append(found.data_centre)
        self.assertEqual({"b"}, set(places))

    def test_sample_holds_a_remote_endpoint(self):
        """Guards against a local queue beside free slots elsewhere."""
        service = samples.make_service(engine=None, cold_rate=0.0)
        for _ in range(20):
            room = DispatcherCase(3, 63, service)
            room.dispatcher.update_scheduling(
                settings_module.Scheduling(remote_penalty=1.0)
            )
            places = [
                room.choose(f"r{n}", "b", prompt_tokens=0).data_centre
                for n in range(4)
            ]
            self.assertEqual(["b", "b"], places[:2])
            self.assertNotIn("b", places[2:])


class WiringTest(testtools.TestCase):
    """The setting of an instance."""

    def test_setting_applies_at_the_start_and_when_it_changes(self):
        """Guards against a changed setting that needs a restart."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.yaml"
        text = test_settings.TEXT.replace("10.0.0.1", "127.77.0.1")
        text += "scheduling:\n  remote_penalty: "
        path.write_text(f"{text}0.2\n")
        settings = settings_module.read_settings(path).unwrap()
        instance = core.Instance(path, settings, clock.ManualClock())
        self.addCleanup(instance._callers.close)
        self.addCleanup(instance._forwards.close)
        selector = instance.dispatcher._selector
        self.assertEqual(0.2, selector.remote_penalty)
        path.write_text(f"{text}1.5\n")
        instance.reload()
        self.assertEqual(0.2, selector.remote_penalty)
        path.write_text(f"{text}0\n")
        instance.reload()
        self.assertEqual(0.0, selector.remote_penalty)
