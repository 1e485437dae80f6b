"""Tests that frames which a broken channel may have lost are sent again."""

from camphorlink.internal.shell.process.outbox import (
    MAX_FRAMES,
    RESEND_WINDOW_S,
    Outbox,
)


def test_frames_sent_shortly_before_a_loss_are_sent_again_once():
    outbox = Outbox()
    outbox.add('m', b'old', 1.0)
    outbox.add('m', b'late', 1.9)
    outbox.record_loss('m', 2.0)
    outbox.add('m', b'waiting', 2.1)
    assert outbox.pop_lost('m') == [b'late', b'waiting']
    assert outbox.pop_lost('m') == []


def test_nothing_is_sent_again_without_a_loss():
    outbox = Outbox()
    outbox.add('m', b'sent', 1.0)
    assert outbox.pop_lost('m') == []


def test_frames_wait_for_a_channel_only_shortly_after_its_loss():
    outbox = Outbox()
    assert not outbox.may_resend('m', 1.0)
    outbox.record_loss('m', 1.0)
    assert outbox.may_resend('m', 1.0 + RESEND_WINDOW_S / 2)
    assert not outbox.may_resend('m', 1.0 + RESEND_WINDOW_S)


def test_frames_for_a_lost_member_are_dropped():
    outbox = Outbox()
    outbox.add('m', b'sent', 1.0)
    outbox.record_loss('m', 1.0)
    outbox.forget('m')
    assert outbox.pop_lost('m') == []
    assert not outbox.may_resend('m', 1.0)


def test_the_number_of_kept_frames_is_bounded():
    outbox = Outbox()
    outbox.record_loss('m', 1.0)
    for _ in range(2 * MAX_FRAMES):
        outbox.add('m', b'x', 1.0)
    assert len(outbox.pop_lost('m')) == MAX_FRAMES
