"""When calls to discovery begin and end, reckoned from the one bound within which a change must be known.

Pure arithmetic: no clock, no chance, no I/O.  `docs/design.md`, "When a change is announced and when it is
known", has the reckoning path by path.
"""

from __future__ import annotations

from dataclasses import dataclass

_GOLDEN = 0.618033988749895  # its multiples fall evenly between 0 and 1, however many instances there are
_AFTER_NEWS = 2  # own turns in a wait after news: it lasts half of the longest at least, and costs less


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """The parts of `announced_s`, in seconds.

    A change counts as announced `announced_s` after discovery had it and could be reached, whatever became of
    the calls before.  So it is no single call's end that matters, but that calls *begin* close together: each
    one that begins once discovery can be reached is answered, or else its dial is lost and made again.
    """

    announced_s: float = 6.0  # the users' term

    @property
    def late_s(self) -> float:
        """For a process that gets its turn late."""
        return self.announced_s / 20

    @property
    def answer_s(self) -> float:
        """For discovery's line: what waits longer there is turned away."""
        return self.announced_s / 3

    @property
    def dial_s(self) -> float:
        """For a dial, until it is given up."""
        return self.announced_s / 6

    @property
    def dial_again_s(self) -> float:
        """From a dial that has not come up to a second one beside it."""
        return self.announced_s / 24

    @property
    def call_s(self) -> float:
        """For a call that waits for nothing, its dial included; it is over before the next one begins."""
        return self.dial_s + self.answer_s

    @property
    def stalled_s(self) -> float:
        """Without a byte of an answer that was begun, until it is given up."""
        return self.announced_s / 6

    @property
    def apart_s(self) -> float:
        """From the beginning of a call to that of the next, at most, whatever becomes of the first."""
        return self.announced_s - self.late_s - self.dial_again_s - self.answer_s

    @property
    def overdue_s(self) -> float:
        """From the end of a watch's wait to a call beside it: a line this long costs no second call."""
        return self.announced_s / 15

    @property
    def watch_s(self) -> float:
        """How long a watch may wait for news."""
        return self.apart_s - self.overdue_s

    @property
    def turn_s(self) -> float:
        """From one turn of an instance to its next, a little under `watch_s`: an answer may come early."""
        return self.watch_s - self.announced_s / 60

    @property
    def unlisted_s(self) -> float:
        """From one call to the next while no list was ever held: nothing can be served meanwhile."""
        return self.announced_s / 8

    def until_turn_s(self, now_us: int, instance: int) -> float:
        """Until the instance's next own turn of those `unlisted_s` apart; one that is just now is over.

        Guards against a fleet in step, as `wait_ms` does, and against two calls where a timer fires early.
        """
        early = self.announced_s / 600
        own = instance * _GOLDEN % 1.0 * self.unlisted_s
        return self.unlisted_s + early - (now_us / 1e6 + early - own) % self.unlisted_s

    def wait_ms(self, now_us: int, instance: int, after_news: bool) -> int:
        """How long the next watch waits (ms): to the instance's last own turn within `watch_s`.

        Guards against a fleet in step: news, a restart or discovery's return answers all at once, and waits
        of one length would end at once too, for ever.  `now_us` is Unix time, so that turns of different
        machines fall between each other.
        """
        spacing = self.turn_s / (_AFTER_NEWS if after_news else 1)
        own = instance * _GOLDEN % 1.0 * self.turn_s
        return int(1_000 * (self.watch_s - (now_us / 1e6 + self.watch_s - own) % spacing))
