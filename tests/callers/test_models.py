"""Tests of the validation of bodies and targets."""

import hypothesis
from hypothesis import strategies
import result
import testtools

from citronport import errors
from citronport.callers import const
from citronport.callers import models
from citronport.callers import request_headers
from citronport.callers import submissions

MESSAGE = b'{"role":"u","content":"x"}'


class ChatTest(testtools.TestCase):
    """The body of a chat call."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary())
    def test_any_bytes_are_refused_or_taken(self, body):
        """No input raises an error."""
        match models.parse_chat(body):
            case result.Err(refusal):
                self.assertEqual(errors.Code.MALFORMED, refusal.code)

    def test_too_many_messages(self):
        """A chat with too many tiny messages is refused."""
        joined = b",".join([MESSAGE] * (const.MAX_MESSAGES + 1))
        body = b'{"model":"a","messages":[%s]}' % joined
        refusal = models.parse_chat(body).unwrap_err()
        self.assertEqual("messages: too_long", refusal.detail)


class TargetTest(testtools.TestCase):
    """Targets of requests to plain services."""

    def test_paths_stay_inside_the_service(self):
        """No path leaves its service, in any encoding."""
        cases = {
            "/services/claims/submit?id=1": "claims",
            "/services/claims": "claims",
            "/services/": None,
            "/services/claims/../../load": None,
            "/services/claims/%2e%2e/load": None,
            "/services/claims%2f..%2fload": None,
            "/services/./load": None,
            "/other/claims": None,
        }
        for path, name in cases.items():
            target = request_headers.Target(path=path, ticket="")
            self.assertEqual(name, submissions.get_service(target), path)

    def test_ticket_before_the_path(self):
        """A ticket prefix is removed from the path."""
        environ = {const.ENVIRON_TARGET: "/t/e.i.7/v1/models?a=b"}
        self.assertEqual(
            request_headers.Target(path="/v1/models?a=b", ticket="e.i.7"),
            request_headers.read_target(environ),
        )
