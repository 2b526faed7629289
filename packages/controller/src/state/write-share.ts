/** The leader's share of the changes per second that the state service allows. */
import { secondsOf, type Duration, type Instant, type StateEvent } from '@tealdock/wire';
import type { Runtime } from '../runtime/runtime.js';

const ADJUSTMENT_INTERVAL_MS = 1000;
/** Changes by other nodes are averaged over this time. */
const AVERAGING_WINDOW_MS = 5_000;
/** What any node may use, so that the three of them together rarely exceed the limit. */
const DEFAULT_FRACTION = 1 / 2;
/** What the leader may use at the most, however little the other nodes do. */
const MAX_FRACTION = 4 / 5;
/** Kept free beside what the other nodes were seen to use: they have bursts. */
const RESERVED_FRACTION = 1 / 6;
/** An accepted job is one changed key, a cancelled one is two. */
const WRITES_PER_SUBMISSION_COUNT = 1;
const WRITES_PER_CANCELLATION_COUNT = 2;

/**
 * Adjusts how many of the changes per second this node may use. The other nodes only accept
 * and cancel jobs, which the leader sees in its watch; what they leave unused, the leader may
 * use for ends of jobs and for the machine registry.
 */
export class WriteShare {
  private readonly observedWrites: { at: Instant; count: number }[] = [];

  constructor(
    private readonly runtime: Runtime,
    private readonly isLeader: () => boolean,
  ) {}

  /** Adjusts the share now and then repeatedly, until this node leads no longer. */
  start(): void {
    this.runtime.every(ADJUSTMENT_INTERVAL_MS, () => {
      // Set each time: what an earlier term of this node has set last must not stay.
      const isLeader = this.isLeader();
      this.runtime.setWriteFraction(isLeader ? this.leaderFraction() : DEFAULT_FRACTION);
      return isLeader;
    });
  }

  /** Counts a change of a job's key that this leader has not caused; its own submissions too. */
  recordChange(event: StateEvent): void {
    const count = event.removed ? WRITES_PER_CANCELLATION_COUNT : WRITES_PER_SUBMISSION_COUNT;
    this.observedWrites.push({ at: this.runtime.now, count });
  }

  private leaderFraction(): number {
    const { writesPerSecond } = this.runtime.settings.state;
    const unused = 1 - RESERVED_FRACTION - this.observedWritesPerSecond() / writesPerSecond;
    return Math.max(DEFAULT_FRACTION, Math.min(MAX_FRACTION, unused));
  }

  private observedWritesPerSecond(): number {
    while (this.observedWrites[0] && this.isOutsideWindow(this.observedWrites[0].at)) {
      this.observedWrites.shift();
    }
    const total = this.observedWrites.reduce((sum, { count }) => sum + count, 0);
    return total / secondsOf(AVERAGING_WINDOW_MS);
  }

  private isOutsideWindow(instant: Instant): boolean {
    const age: Duration = this.runtime.now - instant;
    return age > AVERAGING_WINDOW_MS;
  }
}
