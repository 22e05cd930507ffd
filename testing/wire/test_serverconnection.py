import unittest
from unittest import mock

from _monsoonpulley.wire.requestmessage import RequestMessage
from _monsoonpulley.wire.serverconnection import Exchange


class ExchangeTest(unittest.TestCase):
    def test_an_answer_gets_no_second_head(self):
        connection = mock.Mock()
        exchange = Exchange(
            RequestMessage(b"POST", b"/", [], {}, b"", True, 0), connection
        )
        exchange.start(200, [])
        connection.write.reset_mock()
        with self.assertRaises(RuntimeError):
            exchange.respond(502, [], b"error")
        connection.write.assert_not_called()


if __name__ == "__main__":
    unittest.main()
