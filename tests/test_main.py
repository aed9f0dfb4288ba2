"""Tests of the command line and of the start of the process."""

import os
import subprocess
import sys

import testtools

from citronport import commands

PROGRAM = (sys.executable, "-m", "citronport")


def run_program(*arguments):
    """Run the program; return exit code, output and error output."""
    done = subprocess.run(
        [*PROGRAM, *arguments], capture_output=True, text=True, timeout=60
    )
    return done.returncode, done.stdout, done.stderr


class UsageTest(testtools.TestCase):
    """Invalid use exits with 2 and prints one line without a traceback."""

    def check(self, arguments, expected):
        """Run an invalid command line."""
        code, output, errors = run_program(*arguments.split())
        self.assertEqual((2, ""), (code, output), errors)
        self.assertEqual(1, errors.count("\n"), errors)
        self.assertIn(expected, errors)

    def test_missing_file(self):
        """The error names a file that does not exist."""
        self.check("serve /nowhere.yaml", "/nowhere.yaml: No such file")

    def test_invalid_file(self):
        """The errors of a file are reported in one line."""
        self.check(
            "check settings docs/examples/catalogue.yaml",
            "line 2: version: unknown key",
        )

    def test_invalid_arguments(self):
        """Invalid arguments raise a one-line error; nothing is executed."""
        for arguments, expected in (
            ("bogus", "unknown command: bogus"),
            ("serve", "missing argument: file"),
            ("serve a.yaml b", "unexpected argument: b"),
            ("serve a.yaml path", "incomplete command"),
            ("check", "incomplete command"),
            ("check nothing x", "unexpected argument: nothing"),
            ("status", "status needs an ADDRESS"),
            ("status 127.0.0.1:99999", 'not an "ip:port"'),
            ("status 127.0.0.1:1 --json=x", "--json takes no value"),
            ("drain host", 'not an "ip:port"'),
            ("version -- --interactive", "-- is not supported"),
        ):
            error = self.assertRaises(
                commands.UsageError, commands.parse, arguments.split()
            )
            self.assertIn(expected, str(error))
            self.assertNotIn("\n", str(error))

    def test_valid_use(self):
        """Help and checks print to standard output and exit with 0."""
        for arguments, expected in (
            ("", "Examples:"),
            ("serve --help", "Run one entry instance until SIGTERM."),
            ("check settings docs/examples/settings.yaml", "valid: entry-1"),
            ("check catalogue docs/examples/catalogue.yaml", "version 7"),
        ):
            code, output, errors = run_program(*arguments.split())
            self.assertEqual((0, ""), (code, errors))
            self.assertIn(expected, output)


class LoopTest(testtools.TestCase):
    """The event loop does not depend on the environment."""

    def test_loop_is_libev_on_epoll(self):
        """The environment cannot select another event loop.

        gevent's libuv loop may use io_uring, which the machines forbid.
        """
        script = (
            "import citronport.__main__, gevent;"
            "loop = gevent.get_hub().loop;"
            "print(type(loop).__module__, loop.backend)"
        )
        asked = {"GEVENT_LOOP": "libuv-cffi", "GEVENT_BACKEND": "select"}
        done = subprocess.run(
            [sys.executable, "-c", script],
            env={**os.environ, **asked},
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual("gevent.libev.corecext epoll\n", done.stdout)


class StartTest(testtools.TestCase):
    """Start-up time, which matters when all instances restart at once."""

    def test_relay_does_not_search_for_plugins(self):
        """A relay does not search the installed packages for plugins.

        After a power loss all instances start at once, and a start that reads
        all installed packages refuses callers for longer.
        """
        script = (
            "import sys, importlib.metadata as metadata;"
            "sys.argv = ['citronport', 'relay', 'settings.yaml'];"
            "looks = [];"
            "find = metadata.distributions;"
            "metadata.distributions ="
            " lambda **kind: looks.append(kind) or find(**kind);"
            "metadata.entry_points ="
            " lambda **kind: looks.append(kind) or ();"
            "import citronport.__main__, citronport.relay.core;"
            "print(len(looks))"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual("0\n", done.stdout, done.stderr)

    def test_relay_loads_no_library_that_it_does_not_need(self):
        """Guards against libraries that delay each start of an instance."""
        script = (
            "import sys;"
            "sys.argv = ['citronport', 'relay', 'no-such-file.yaml'];"
            "import citronport.__main__ as main;"
            "import citronport.relay.core;"
            "import contextlib;"
            "\nwith contextlib.suppress(SystemExit): main.run()\n"
            "print({'aioprometheus', 'asyncio', 'fire', 'pydantic'}"
            " & set(sys.modules))"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual("set()\n", done.stdout, done.stderr)
