"""Tests of which requests count as repeats of each other."""

import testtools

from citronport.scheduler.direct import fingerprints

REQUEST = ("shop", "POST", "shop.example", "/review/1?a=b", b"body")
KNOWN = "0abe6fb327b355e0"


class FingerprintTest(testtools.TestCase):
    """Fingerprints of equal and of different requests."""

    def test_repeat_has_the_same_fingerprint(self):
        """It is equal in all processes, since instances exchange it."""
        self.assertEqual(KNOWN, fingerprints.make_fingerprint(*REQUEST))

    def test_each_part_changes_the_fingerprint(self):
        """Guards against barring a different request."""
        others = [
            ("desk", "POST", "shop.example", "/review/1?a=b", b"body"),
            ("shop", "PUT", "shop.example", "/review/1?a=b", b"body"),
            ("shop", "POST", "desk.example", "/review/1?a=b", b"body"),
            ("shop", "POST", "shop.example", "/review/2?a=b", b"body"),
            ("shop", "POST", "shop.example", "/review/1?a=b", b"bodies"),
            ("sho", "pPOST", "shop.example", "/review/1?a=b", b"body"),
        ]
        found = {fingerprints.make_fingerprint(*each) for each in others}
        self.assertEqual(len(others), len(found))
        self.assertNotIn(fingerprints.make_fingerprint(*REQUEST), found)
