/** Simulated time, and the events that are scheduled in it. */
import type { Duration, Instant } from '@tealdock/wire';

/** The calendar time at which every simulation starts, in ms since the epoch. */
const START_DATE_MS = Date.UTC(2026, 0, 1);

interface ScheduledEvent {
  at: Instant;
  /** Events due at the same instant run in the order in which they were scheduled. */
  sequenceNumber: number;
  run: () => void;
}

/** A clock that only `advance` moves; times in ms since the start of the simulation. */
export class SimulatedClock {
  private time: Instant = 0;
  private events: ScheduledEvent[] = [];
  private nextSequenceNumber = 0;

  now(): Instant {
    return this.time;
  }

  /** The calendar time. */
  date(): Date {
    return new Date(START_DATE_MS + this.time);
  }

  /** Schedules an event. */
  after(delay: Duration, run: () => void): void {
    this.events.push({ at: this.time + delay, sequenceNumber: this.nextSequenceNumber++, run });
  }

  /** Advances the time and runs the events due; those that they schedule wait for the next call. */
  advance(duration: Duration): void {
    this.time += duration;
    const due = this.events.filter((event) => event.at <= this.time);
    this.events = this.events.filter((event) => event.at > this.time);
    due.sort((a, b) => a.at - b.at || a.sequenceNumber - b.sequenceNumber);
    for (const event of due) event.run();
  }
}
