"""Tests of routes by host and path, and services by weight."""

import testtools

from citronport.scheduler.direct import models
from citronport.scheduler.direct import routing
from tests.relay import samples


class RoutingTest(testtools.TestCase):
    """The longest matching prefix of a host is chosen."""

    def setUp(self):
        """Create routes with nested prefixes."""
        super().setUp()
        self.routes = routing.Routes(
            samples.make_route(name=name, host=host, prefix=prefix)
            for name, host, prefix in (
                ("a", "x.example", "/a/"),
                ("a-b", "x.example", "/a/b/"),
                ("other", "y.example", "/a/"),
            )
        )

    def find(self, host, path):
        """Return the name of the route found."""
        route = self.routes.find(host, path)
        return route.name if route else None

    def test_longest_prefix(self):
        """Prefixes end with a slash: /a/bc is not under /a/b/."""
        self.assertEqual("a-b", self.find("x.example", "/a/b/c"))
        self.assertEqual("a", self.find("x.example", "/a/bc"))
        self.assertEqual("a", self.find("X.Example:8080", "/a/"))
        self.assertEqual("other", self.find("y.example", "/a/b/"))

    def test_nothing_matches(self):
        """Unknown hosts and paths without a slash do not match."""
        self.assertIsNone(self.find("z.example", "/a/"))
        self.assertIsNone(self.find("x.example", "/a"))
        self.assertIsNone(self.find("x.example", "/"))

    def test_services_by_weight(self):
        """A share of a tenth gets a tenth of the draws."""
        route = samples.make_route(
            shares=(
                models.Share(service="big", weight=90),
                models.Share(service="small", weight=10),
            )
        )
        drawn = [routing.choose_service(route, n / 1000) for n in range(1000)]
        self.assertEqual(100, drawn.count("small"))
