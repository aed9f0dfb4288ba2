"""Where the versions of streams are kept, in fleets of several sizes."""

import random
import time

import gevent
import testtools

from citronport import errors
from citronport.platform import requests
from citronport.relay import cluster_state
from citronport.relay import contacts
from citronport.relay import messages
from citronport.relay import metrics
from citronport.relay import owners
from citronport.relay import store_history
from citronport.relay import stream_messages
from citronport.relay import stream_versions
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import models
from citronport.scheduler.direct import software_history
from tests.relay import networks
from tests.relay import samples

DATA_CENTRES = 6
LARGE = 60
VERSIONS = ("v1", "v2")
LONG_AGO = 1_600_000_000_000
"""Start of endpoints, Unix milliseconds."""

UNKNOWN = errors.Code.STREAM_UNKNOWN


class StreamRecordsCase(testtools.TestCase):
    """Test case with a fleet whose instances remember streams."""

    def start(self, instances, *software, data_centres=DATA_CENTRES):
        """Start a fleet that lists one endpoint of each version."""
        self.random = random.Random(instances)
        self.network = networks.Network(instances, data_centres)
        self.nodes = list(self.network.nodes.values())
        self.sent = []
        self.store_checks = {}
        self.versions = {}
        self.lists = {}
        self.route = samples.make_route(resumable=True)
        for node in self.nodes:
            self.add(node)
        self.network.run(2.0)
        self.list_endpoints(*software)
        self.record_past(*software)

    def add(self, node):
        """Let an instance remember streams, as after its start."""
        ticker = self.network.ticker
        log = samples.make_log(ticker)
        state = cluster_state.ClusterState(
            cold_starts.ColdStarts(), lambda name: None, log
        )
        node_owners = owners.Owners(
            node.name,
            1.0,
            node.members,
            state,
            lambda: True,
            log,
            lambda: None,
        )

        def send(instance, message):
            self.sent.append(message)
            node.gossip.send_message(instance, message)

        self.store_checks[node.name] = samples.StoreCheck(
            ticker, lambda: self.read_store(node)
        )
        found = stream_versions.StreamVersions(
            node.name,
            node.members,
            state,
            node_owners,
            send,
            samples.make_proofs(
                node.members,
                ticker,
                self.store_checks[node.name],
                self.probe,
            ),
            metrics.Counts(),
            ticker,
        )
        node.gossip._handle_message = found.handle
        self.versions[node.name] = found
        self.lists[node.name] = state

    def probe(self, address):
        """Return whether an instance is gone; others can't be reached."""
        if any(node.address == address for node in self.network.dead):
            return contacts.Probe.REFUSED
        return contacts.Probe.UNREACHABLE

    def lose_store(self, *nodes):
        """Let the store answer no longer, by default none of the instances."""
        self.network.run(0.1)
        for node in nodes or self.nodes:
            self.store_checks[node.name].answers = False

    def list_endpoints(self, *software, nodes=None, started=LONG_AGO):
        """Let instances, by default all, list an endpoint of each version."""
        self.listed = {
            s: samples.make_endpoint(s, software=s, started=started)
            for s in software
        }
        for node in nodes or self.nodes:
            self.read_store(node)
        # Tasks that tell others of known streams begin to run.
        gevent.sleep(0)
        self.network.run(0.1)

    def read_store(self, node):
        """Let an instance list what the store lists."""
        state = self.lists[node.name]
        if state.endpoints != self.listed:
            state.endpoints = dict(self.listed)
            state._index()
            self.versions[node.name].update()

    def record_past(self, *software):
        """Let all instances know each version that was ever listed."""
        for found in self.versions.values():
            found.record_past(
                store_history.Past(
                    versions={(samples.ENGINES, name) for name in software},
                    weights=None,
                )
            )
            found.update()

    def begin(self, number, nodes=None):
        """Begin streams; return version and first instance by id."""
        begun = {}
        for n in range(number):
            node = self.random.choice(nodes or self.nodes)
            listed = self.lists[node.name].endpoints
            endpoint = self.random.choice(list(listed.values()))
            self.versions[node.name].record(f"s{n}", None, endpoint)
            begun[f"s{n}"] = (endpoint.software, node)
        self.network.run(0.1)
        return begun

    def run_for(self, seconds):
        """Let instances take over at short intervals what they know."""
        for _ in range(round(seconds / 0.25)):
            self.network.run(0.25)
            for node in self.nodes:
                self.versions[node.name].update()

    def lose(self, *nodes):
        """Let instances die; the others know it."""
        self.network.dead.update(nodes)
        self.nodes = [n for n in self.nodes if n not in self.network.dead]
        self.network.run(4.0)

    def restart(self, node, *software):
        """Let an instance start again with empty state."""
        node.start(self.network.seeds)
        self.add(node)
        self.list_endpoints(*software, nodes=[node])
        self.network.run(0.5)
        for found in self.versions.values():
            found.update()
        gevent.sleep(0)
        self.network.run(0.1)

    def take_up(self, begun_by, node, route=None):
        """Return where a stream may go on, or the refusal."""
        resumption = requests.Resumption(begun_by=begun_by, after="4")
        task = gevent.spawn(
            self.versions[node.name].resolve, resumption, route or self.route
        )
        until = self.network.ticker.now() + 1.0
        while not task.ready() and self.network.ticker.now() < until:
            gevent.sleep(0)
            self.network.run(0.02)
            gevent.sleep(0.001)
        return task.get(timeout=1.0)

    def take_up_all(self, begun):
        """Take streams up at survivors; return the share that goes on.

        Checks that none goes on at another version.
        """
        known = 0
        for begun_by, (software, _) in begun.items():
            found = self.take_up(begun_by, self.random.choice(self.nodes))
            if isinstance(found, errors.Refusal):
                self.assertEqual(UNKNOWN, found.code)
                continue
            self.assertEqual(software, found.software)
            known += 1
        return known / len(begun)


class SmallFleetTest(StreamRecordsCase):
    """Seven instances in four data centres."""

    def start(self, *software):
        """Start the fleet."""
        super().start(7, *software, data_centres=4)

    def test_all_but_one_are_lost(self):
        """Guards against copies that are lost with any number."""
        self.start(*VERSIONS)
        begun = self.begin(40)
        self.lose(*self.nodes[1:])
        self.assertEqual(1.0, self.take_up_all(begun))

    def test_cut_off_from_the_others(self):
        """Guards against a guess where nobody can be asked."""
        self.start("v1")
        self.network.is_blocked = lambda sender, receiver: True
        cut_off = self.nodes[0]
        self.assertEqual("v1", self.take_up("s1", cut_off).software)
        self.lose_store()
        refusal = self.take_up("s1", cut_off)
        self.assertEqual(UNKNOWN, refusal.code)
        self.assertIsNotNone(refusal.retry_after)

    def test_second_version_that_only_others_list(self):
        """Guards against one version in the own list as a proof."""
        self.start("v1")
        self.list_endpoints(*VERSIONS, nodes=self.nodes[1:])
        self.assertEqual(UNKNOWN, self.take_up("s1", self.nodes[0]).code)

    def test_stream_of_a_version_that_is_not_listed_yet(self):
        """Guards against a new version taken for the only known one."""
        self.start("v1")
        self.list_endpoints(*VERSIONS, nodes=self.nodes[1:])
        begun = self.begin(20, self.nodes[1:])
        for begun_by, (software, _) in begun.items():
            found = self.take_up(begun_by, self.nodes[0])
            self.assertEqual(software, found.software)

    def test_second_version_comes(self):
        """Guards against streams that began before and are not told."""
        self.start("v1")
        begun = self.begin(20)
        self.assertEqual([], self.sent)
        self.list_endpoints(*VERSIONS)
        self.lose(*self.nodes[1:])
        self.assertEqual(1.0, self.take_up_all(begun))

    def test_instance_lost_before_the_second_version_comes(self):
        """Guards against streams whose only witness was the owner."""
        self.start("v1")
        begun = self.begin(20, self.nodes[:1])
        for node in self.nodes[1:2]:
            for begun_by in begun:
                self.versions[node.name].handle(
                    messages.Begun(
                        protocol=messages.PROTOCOL,
                        instance="own",
                        request=begun_by,
                        endpoint="v1",
                        software="v1",
                    )
                )
        self.lose(self.nodes[0])
        self.list_endpoints(*VERSIONS)
        self.assertEqual(1.0, self.take_up_all(begun))

    def test_owner_with_an_older_list(self):
        """Guards against an owner's view in place of what was told."""
        self.start(*VERSIONS)
        ((begun_by, (software, _)),) = self.begin(1).items()
        (other,) = set(VERSIONS) - {software}
        owner = self.versions[self.nodes[1].name]
        owner.handle(
            messages.Begun(
                protocol=messages.PROTOCOL,
                instance="own",
                request=begun_by,
                endpoint=other,
                software=other,
            )
        )
        found = self.take_up(begun_by, self.nodes[1])
        self.assertEqual(software, found.software)

    def test_other_version_under_the_name_that_the_owner_lists(self):
        """Guards against a version of which the stream has no event."""
        self.start("v1")
        owner = self.nodes[1]
        self.versions[owner.name].handle(
            messages.Begun(
                protocol=messages.PROTOCOL,
                instance="own",
                request="s1",
                endpoint="v1",
                software="v2",
            )
        )
        self.assertEqual("v2", self.take_up("s1", owner).software)

    def test_begun_by_an_instance_that_was_cut_off(self):
        """Guards against streams begun by weights that ended long before."""
        self.start("v1")
        cut_off = self.nodes[0]
        self.network.is_blocked = lambda sender, receiver: (
            cut_off in (sender, receiver)
        )
        self.list_endpoints(*VERSIONS, nodes=self.nodes[1:])
        self.run_for(25.0)
        begun = self.begin(12, [cut_off])
        self.network.is_blocked = lambda sender, receiver: False
        self.run_for(0.5)
        self.network.dead.add(cut_off)
        self.nodes.remove(cut_off)
        self.run_for(7.0)
        for begun_by in begun:
            found = self.take_up(begun_by, self.nodes[0])
            self.assertNotEqual("v2", getattr(found, "software", None))

    def test_no_version_is_listed(self):
        """Guards against a wait for an endpoint of any version."""
        self.start()
        for begun_by in ("s1", ""):
            refusal = self.take_up(begun_by, self.nodes[0])
            self.assertEqual(UNKNOWN, refusal.code)

    def test_all_started_again_after_a_replacement(self):
        """Guards against a version that no instance has seen."""
        self.start("v1")
        for node in self.nodes:
            self.add(node)
        self.list_endpoints("v2", started=LONG_AGO)
        self.assertEqual(UNKNOWN, self.take_up("s1", self.nodes[0]).code)
        self.assertEqual("v2", self.take_up("", self.nodes[0]).software)
        self.network.ticker.advance(software_history.KEEP_SECONDS)
        self.assertEqual("v2", self.take_up("s1", self.nodes[0]).software)

    def test_all_started_again_beside_a_store_that_knows_the_past(self):
        """Guards against refusals while one version alone has served."""
        self.start("v2")
        for past, expected in ((("v1", "v2"), None), (("v2",), "v2")):
            for node in self.nodes:
                self.add(node)
            self.list_endpoints("v2")
            self.record_past(*past)
            found = self.take_up("s1", self.nodes[0])
            self.assertEqual(expected, getattr(found, "software", None))

    def test_list_that_was_not_followed(self):
        """Guards against a version that came and went during a cut."""
        self.start("v1")
        longest = software_history.MAX_GAP_SECONDS
        for seconds, expected in ((longest, "v1"), (longest + 0.1, None)):
            for found in self.versions.values():
                found.record_gap(seconds)
            found = self.take_up("s1", self.nodes[0])
            self.assertEqual(expected, getattr(found, "software", None))

    def test_unnamed_stream_after_the_first_start(self):
        """Guards against refusals for as long as no past is known."""
        self.start("v1")
        now = int(time.time() * 1000)
        self.list_endpoints("v1", started=now)
        self.network.dead.add(self.nodes[1])
        began = self.network.ticker.now()
        self.assertEqual("v1", self.take_up("", self.nodes[0]).software)
        self.assertLess(self.network.ticker.now() - began, 0.06)

    def test_version_of_an_instance_that_was_cut_off(self):
        """Guards against a version that one still used long after its end."""
        self.start("v1")
        cut_off = self.nodes[0]
        self.network.is_blocked = lambda *ends: cut_off in ends
        self.list_endpoints("v2", nodes=self.nodes[1:])
        for _ in range(25):
            self.network.run(1.0)
        ((begun_by, _),) = self.begin(1, [cut_off]).items()
        self.lose(cut_off)
        self.network.run(2.0)
        self.assertEqual(UNKNOWN, self.take_up(begun_by, self.nodes[0]).code)

    def test_killed_instance_is_not_waited_for(self):
        """Guards against a pause in each stream of a killed instance."""
        self.start("v1")
        begun = self.begin(5, self.nodes[:1])
        self.network.dead.add(self.nodes[0])
        for begun_by in begun:
            began = self.network.ticker.now()
            found = self.take_up(begun_by, self.nodes[1])
            self.assertEqual("v1", found.software)
            self.assertLess(self.network.ticker.now() - began, 0.06)

    def test_started_again_beside_others(self):
        """Guards against an instance that has no past of its own."""
        self.start("v1")
        self.list_endpoints("v2")
        self.add(self.nodes[0])
        self.list_endpoints("v2", nodes=self.nodes[:1])
        self.assertEqual(UNKNOWN, self.take_up("s1", self.nodes[0]).code)

    def test_all_start_again_in_turn(self):
        """Guards against copies that are lost one after the other."""
        self.start(*VERSIONS)
        begun = self.begin(40)
        for node in self.nodes:
            self.restart(node, *VERSIONS)
        self.assertEqual(1.0, self.take_up_all(begun))

    def test_stream_that_is_taken_up_without_a_name(self):
        """Guards against Last-Event-Id alone, which names no stream."""
        self.start(*VERSIONS)
        self.assertEqual(UNKNOWN, self.take_up("", self.nodes[0]).code)
        self.list_endpoints("v1")
        self.network.ticker.advance(software_history.KEEP_SECONDS + 1)
        self.list_endpoints("v1")
        self.assertEqual("v1", self.take_up("", self.nodes[0]).software)

    def test_route_that_goes_to_another_service(self):
        """Guards against a stream that goes on at another service."""
        self.start(*VERSIONS)
        ((begun_by, _),) = self.begin(1).items()
        route = samples.make_route(
            shares=(models.Share(service=samples.BOOKINGS, weight=1.0),)
        )
        refusal = self.take_up(begun_by, self.nodes[0], route)
        self.assertEqual(errors.Code.VERSION_GONE, refusal.code)

    def test_stream_that_is_complete(self):
        """Guards against memory for streams that are over."""
        self.start("v1")
        endpoint = self.lists["i0"].endpoints["v1"]
        found = self.versions["i0"]
        found.record("s1", None, endpoint)
        found.forget("s1")
        self.assertEqual(0, len(found))
        found.record("s2", None, endpoint)
        self.network.ticker.advance(software_history.KEEP_SECONDS)
        found.update()
        self.assertEqual(0, len(found))


class LargeFleetTest(StreamRecordsCase):
    """Sixty instances in six data centres."""

    def start(self, *software):
        """Start the fleet."""
        super().start(LARGE, *software)

    def test_begun_by_killed_instances(self):
        """Guards against versions that a few instances take with them."""
        self.start(*VERSIONS)
        begun = self.begin(100, self.nodes[:10])
        self.lose(*self.nodes[:10])
        self.assertGreater(self.take_up_all(begun), 0.95)

    def test_lost_data_centre(self):
        """Guards against versions that one data centre takes with it."""
        self.start(*VERSIONS)
        begun = self.begin(100)
        self.lose(*[n for n in self.nodes if n.data_centre == "dc0"])
        self.assertGreater(self.take_up_all(begun), 0.95)

    def test_messages_of_a_stream(self):
        """Guards against bytes that grow with the fleet."""
        self.start(*VERSIONS)
        self.sent.clear()
        self.begin(100)
        self.assertLessEqual(len(self.sent), 100 * stream_versions.KEEPERS)
        sizes = [len(messages.CODEC.encode(m)) for m in self.sent]
        self.assertLess(max(sizes), 64)

    def test_no_message_while_one_version_serves(self):
        """Guards against bytes that nothing needs."""
        self.start("v1")
        self.sent.clear()
        self.begin(100)
        self.assertEqual([], self.sent)

    def test_second_version_comes(self):
        """Guards against streams that began before and are not told."""
        self.start("v1")
        begun = self.begin(300)
        self.list_endpoints(*VERSIONS)
        told = [
            m for m in self.sent if isinstance(m, stream_messages.StreamsBegun)
        ]
        self.assertLess(len(told), 300 * stream_versions.KEEPERS)
        self.lose(*self.nodes[:10])
        few = dict(list(begun.items())[:100])
        self.assertGreater(self.take_up_all(few), 0.95)
