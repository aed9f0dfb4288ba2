"""What the platform's store holds ends no instance."""

import gevent

from tests.relay import crowds

VALUE = b"x" * 900_000
"""Close to the largest value that the store takes."""

VALUES = 48

MISSED_VALUES = 11
"""Values that fit into one answer of the store."""

READ_SECONDS = 0.1
SETTLE_SECONDS = 3.0


class LargeStoreTest(crowds.CrowdCase):
    """Other writers put values into the store that are of no use here."""

    def test_values_of_other_writers(self):
        """Guards against values that are kept though nothing reads them."""
        for number in range(VALUES):
            self.store.put(f"other/{number}", VALUE)
            gevent.sleep(READ_SECONDS)
        gevent.sleep(SETTLE_SECONDS)
        self.check()

    def test_many_values_in_one_answer(self):
        """Guards against an answer that is held many times over."""
        self.store.mode = "busy"
        for number in range(MISSED_VALUES):
            self.store.put(f"other/{number}", VALUE)
        gevent.sleep(SETTLE_SECONDS)
        self.store.mode = "well"
        gevent.sleep(2 * SETTLE_SECONDS)
        self.check()
