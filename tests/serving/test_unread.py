"""When a listener's loop looks again at the connections that a full host holds."""

from godwitladder.serving.listener import UnreadConnections

LONGEST_S = 1.0


def test_the_loop_wakes_itself_for_connections_left_unread():
    """Guards against a thread for each wake-up, which ends the loop when denied."""
    wakes = []
    unread = UnreadConnections(lambda: wakes.append(None))
    assert unread.timeout_s(9.99, LONGEST_S) == LONGEST_S
    unread.wake_by(10.02, 10.0)
    unread.wake_by(10.03, 10.01)
    assert len(wakes) == 1
    assert 0.05 <= unread.timeout_s(10.0, LONGEST_S) <= 0.06
    assert unread.timeout_s(10.06, LONGEST_S) == LONGEST_S
