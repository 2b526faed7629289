/** The leader's share of the changes per second. */
import type { Duration, StateEvent } from '@tealdock/wire';
import type { Runtime } from '../runtime/runtime.js';

const ADJUST_EVERY: Duration = 1000;
/** Changes by other nodes are averaged over this time. */
const AVERAGED_OVER: Duration = 5_000;
/** What any node may use, so that the three of them together rarely exceed the limit. */
const USUAL_PART = 1 / 2;
/** What the leader may use at the most, however little the other nodes do. */
const MOST_PART = 4 / 5;
/** Kept free beside what the other nodes were seen to use: they have bursts. */
const RESERVED_PART = 1 / 6;
/** An accepted job is one changed key, a cancelled one is two. */
const CHANGES_PER_SUBMISSION = 1;
const CHANGES_PER_CANCELLATION = 2;

/**
 * The leader's share of the changes per second that the state service allows. The other
 * nodes only accept and cancel jobs, which the leader sees in its watch; what they leave
 * unused, it may use for ends of jobs and for the machine registry.
 */
export class WriteShare {
  private readonly changes: { at: number; count: number }[] = [];

  constructor(
    private readonly runtime: Runtime,
    private readonly leads: () => boolean,
  ) {}

  start(): void {
    this.runtime.every(ADJUST_EVERY, () => {
      // Said each time: what an earlier term of this node says last must not stand.
      this.runtime.setWriteFraction(this.leads() ? this.affordable() : USUAL_PART);
      return this.leads();
    });
  }

  /** Notes an event that this leader has not caused; its own submissions count as well. */
  note(event: StateEvent): void {
    const count = event.removed ? CHANGES_PER_CANCELLATION : CHANGES_PER_SUBMISSION;
    this.changes.push({ at: this.runtime.now, count });
  }

  private affordable(): number {
    while (this.changes[0] && this.runtime.now - this.changes[0].at > AVERAGED_OVER) {
      this.changes.shift();
    }
    const seen = this.changes.reduce((sum, { count }) => sum + count, 0);
    const perSecond = seen / (AVERAGED_OVER / 1000);
    const left = 1 - RESERVED_PART - perSecond / this.runtime.settings.state.writesPerSecond;
    return Math.max(USUAL_PART, Math.min(MOST_PART, left));
  }
}
