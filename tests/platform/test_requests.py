"""Tests of the decoding of request headers."""

import testtools

from citronport.platform import requests

HEAD = {
    "x-attempt-id": "9c41",
    "x-api-key": "key",
    "x-deadline-ms": "1500",
    "x-token-counts": "1460,80",
    "x-prompt-prefix": "5c1e:800,91bd:660",
    "x-length-hint": "40",
}


class HeadersTest(testtools.TestCase):
    """Valid and invalid headers of callers and endpoints."""

    def test_complete_headers(self):
        """Each header is decoded into its attribute."""
        head = requests.parse_request(HEAD).unwrap()
        self.assertEqual(
            (1.5, 1460, 80, 40),
            (
                head.timeout_seconds,
                head.prompt_tokens,
                head.output_tokens,
                head.expected_tokens,
            ),
        )
        self.assertEqual((("5c1e", 800), ("91bd", 660)), head.prompt_parts)

    def test_optional_headers(self):
        """Token counts and the deadline are optional."""
        head = requests.parse_request({"x-attempt-id": "1"}).unwrap()
        self.assertFalse(head.has_token_counts)
        self.assertIsNone(head.timeout_seconds)

    def test_stream_that_is_taken_up(self):
        """Either header makes a request a continuation of a stream."""
        parse = requests.parse_request
        self.assertIsNone(parse(HEAD).unwrap().resumption)
        for fields, begun_by, after in (
            ({"resumes": "9c40", "last-event-id": "7"}, "9c40", "7"),
            ({"resumes": "9c40"}, "9c40", ""),
            ({"last-event-id": "7"}, "", "7"),
        ):
            head = parse({**HEAD, **fields}).unwrap()
            self.assertEqual(
                requests.Resumption(begun_by=begun_by, after=after),
                head.resumption,
            )

    def test_limit_of_an_endpoint(self):
        """An invalid limit is an error, not zero or the lack of a limit."""
        self.assertEqual(2.6, requests.parse_limit("2.6").unwrap())
        self.assertEqual(0.0, requests.parse_limit("0").unwrap())
        for text in ("", "few", "-1", "nan", "inf"):
            self.assertTrue(requests.parse_limit(text).is_err(), text)

    def test_pause_of_an_endpoint(self):
        """An invalid pause is an error, not zero or endless."""
        self.assertEqual(2.5, requests.parse_pause("2.5").unwrap())
        for text in ("", "Thu, 03 Dec 2026 18:00:00 GMT", "-1", "nan", "inf"):
            self.assertTrue(requests.parse_pause(text).is_err(), text)

    def test_leaving_of_an_endpoint(self):
        """Only the two defined values are accepted."""
        self.assertTrue(requests.parse_leaving("1").unwrap())
        self.assertFalse(requests.parse_leaving("0").unwrap())
        for text in ("", "true", "2"):
            self.assertTrue(requests.parse_leaving(text).is_err(), text)

    def test_invalid_headers(self):
        """Invalid headers are refused; none is decoded as zero."""
        for changes in (
            {"x-attempt-id": ""},
            {"x-token-counts": "many"},
            {"x-token-counts": "-1,5"},
            {"x-prompt-prefix": "5c1e"},
            {"x-deadline-ms": "soon"},
            {"x-length-hint": "?"},
        ):
            parsed = requests.parse_request({**HEAD, **changes})
            self.assertTrue(parsed.is_err(), changes)
