/** Simulated time, and the events that are planned in it. */
import type { Duration, Instant } from '@tealdock/wire';

/** The calendar time at which every simulation starts. */
const START_DATE_MS = Date.UTC(2026, 0, 1);

interface PlannedEvent {
  at: Instant;
  /** Events due at the same instant run in the order in which they were planned. */
  sequenceNumber: number;
  run: () => void;
}

/** Time that stands still until it is advanced, in ms since the start of the simulation. */
export class SimulatedClock {
  private time: Instant = 0;
  private events: PlannedEvent[] = [];
  private nextSequenceNumber = 0;

  now(): Instant {
    return this.time;
  }

  /** The calendar time. */
  date(): Date {
    return new Date(START_DATE_MS + this.time);
  }

  /** Plans an event. */
  after(delay: Duration, run: () => void): void {
    this.events.push({ at: this.time + delay, sequenceNumber: this.nextSequenceNumber++, run });
  }

  /** Moves time on and runs all that is due; events that these plan wait for the next call. */
  advance(duration: Duration): void {
    this.time += duration;
    const due = this.events.filter((event) => event.at <= this.time);
    this.events = this.events.filter((event) => event.at > this.time);
    due.sort((a, b) => a.at - b.at || a.sequenceNumber - b.sequenceNumber);
    for (const event of due) event.run();
  }
}
