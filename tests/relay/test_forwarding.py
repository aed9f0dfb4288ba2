"""Choice of the instances by which requests are sent."""

import testtools

from citronport import errors
from citronport.platform import requests
from citronport.relay import forwarding
from tests.relay import networks

DATA_CENTRES = 6
LARGE = 195
SMALLER = 48
KNOWN_SECONDS = 3.0
"""Time by which all instances know which ones have lost their path."""


class ChoiceTest(testtools.TestCase):
    """Fleets in which some instances have lost their path."""

    def start(self, instances):
        """Start a fleet in several data centres."""
        self.network = networks.Network(instances, DATA_CENTRES)
        self.network.run(2.0)

    def lose(self, is_lost):
        """Let the chosen instances lose their path; wait until it is known."""
        for node in self.network.nodes.values():
            node.path_lost = is_lost(node)
        self.network.run(KNOWN_SECONDS)

    def choose(self, node):
        """Return the instances that an instance asks."""
        by_name = {n.name: n for n in self.network.nodes.values()}
        forwarder = forwarding.Forwarder(
            node.name,
            node.data_centre,
            7600,
            node.members,
            self.network.ticker,
        )
        return [by_name[r.instance] for r in forwarder.choose_peers()]

    def check_choices(self):
        """Check that each lost instance asks some that have a path."""
        for node in self.network.nodes.values():
            if node.path_lost:
                chosen = self.choose(node)
                self.assertNotEqual([], chosen)
                self.assertFalse(any(peer.path_lost for peer in chosen))

    def test_most_of_a_small_fleet(self):
        """Guards against a lost instance that finds no way, of seven."""
        self.start(7)
        self.lose(lambda node: node.name != "i3")
        self.check_choices()

    def test_whole_data_centre_of_a_large_fleet(self):
        """Guards against a data centre that asks only its own instances."""
        self.start(LARGE)
        self.lose(lambda node: node.data_centre == "dc0")
        self.check_choices()

    def test_part_of_a_data_centre(self):
        """Guards against bytes between data centres that nothing needs."""
        self.start(SMALLER)
        self.lose(lambda node: node.name == "i0")
        (lost,) = (n for n in self.network.nodes.values() if n.path_lost)
        places = {peer.data_centre for peer in self.choose(lost)}
        self.assertEqual({lost.data_centre}, places)

    def test_all_lost(self):
        """Guards against requests that are sent round in vain."""
        self.start(7)
        self.lose(lambda node: True)
        for node in self.network.nodes.values():
            self.assertEqual([], self.choose(node))

    def test_path_that_is_back(self):
        """Guards against an instance that is not asked any more."""
        self.start(7)
        self.lose(lambda node: node.name != "i3")
        self.lose(lambda node: node.name == "i3")
        self.check_choices()


def make_answer(status=503, signature="", **headers):
    """Return an answer with some headers."""
    return requests.EndpointAnswer(
        status=status,
        request_id="",
        signature=signature,
        ran=True,
        misdirected=False,
        limit=None,
        leaving=None,
        brittle=None,
        turned_away=False,
        pause=None,
        headers=tuple(
            (name.replace("_", "-"), value) for name, value in headers.items()
        ),
    )


class RefusalTest(testtools.TestCase):
    """What another instance refused, or an endpoint answered."""

    def test_refusal_of_another_instance(self):
        """Guards against a refusal that loses its code or its retry time."""
        answer = make_answer(X_Citronport_Code="2101", Retry_After="0.250")
        self.assertEqual(
            errors.Refusal(code=errors.Code.OVERLOADED, retry_after=0.25),
            forwarding.parse_refusal(answer),
        )

    def test_answer_of_an_endpoint(self):
        """Guards against an endpoint's answer that is replaced."""
        signed = make_answer(signature="seal", X_Citronport_Code="2101")
        for answer in (signed, make_answer(status=500)):
            self.assertIsNone(forwarding.parse_refusal(answer))

    def test_unknown_code(self):
        """Guards against "not run" of a refusal that is not understood."""
        for code in ("x", "7", ""):
            answer = make_answer(X_Citronport_Code=code)
            refusal = forwarding.parse_refusal(answer)
            self.assertEqual(errors.Code.INSTANCE_LOST, refusal.code)
