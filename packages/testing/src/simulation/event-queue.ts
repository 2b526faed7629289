/** Events of simulated time. */
import type { Duration, Instant } from '@tealdock/wire';

interface Event {
  at: Instant;
  /** Events due at the same instant run in the order in which they were set. */
  order: number;
  run: () => void;
}

/** What is to happen at which instant. */
export class EventQueue {
  private events: Event[] = [];
  private order = 0;

  constructor(private readonly now: () => Instant) {}

  after(delay: Duration, run: () => void): void {
    this.events.push({ at: this.now() + delay, order: this.order++, run });
  }

  /** Runs all that is due; events that these set wait for the next time. */
  runDue(): void {
    const now = this.now();
    const due = this.events.filter((event) => event.at <= now);
    this.events = this.events.filter((event) => event.at > now);
    for (const event of due.sort((a, b) => a.at - b.at || a.order - b.order)) event.run();
  }
}
