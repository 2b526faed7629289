/** The leader's share of the writes per second that the state service allows. */
import { secondsOf, type Duration, type Instant, type StateEvent } from '@tealdock/wire';
import type { Runtime } from '../runtime/runtime.js';

const ADJUSTMENT_INTERVAL_MS = 1000;
/** Changes by other nodes are averaged over this time. */
const AVERAGING_WINDOW_MS = 5_000;
/** Fraction that any node may use, so that the three of them together rarely exceed the limit. */
const DEFAULT_FRACTION = 1 / 2;
/** Fraction that the leader may use at most, however little the other nodes use. */
const MAX_FRACTION = 4 / 5;
/** Fraction left free beyond the observed use by other nodes, for their bursts. */
const RESERVED_FRACTION = 1 / 6;
/** An accepted job changes one key, a cancelled one changes two. */
const WRITES_PER_SUBMISSION_COUNT = 1;
const WRITES_PER_CANCELLATION_COUNT = 2;

/**
 * Adjusts the fraction of the writes per second that this node may use. Other nodes only accept
 * and cancel jobs, which the leader observes in its watch. The leader may use the rest, for
 * ends of jobs and for the machine registry.
 */
export class WriteShare {
  private readonly observedWrites: { at: Instant; count: number }[] = [];

  constructor(
    private readonly runtime: Runtime,
    private readonly isLeader: () => boolean,
  ) {}

  /** Adjusts the share immediately, then at regular intervals until this node no longer leads. */
  start(): void {
    this.runtime.every(ADJUSTMENT_INTERVAL_MS, () => {
      // Set even if unchanged: an earlier term of this node resets it to the default as it ends.
      const isLeader = this.isLeader();
      this.runtime.setWriteFraction(isLeader ? this.leaderFraction() : DEFAULT_FRACTION);
      return isLeader;
    });
  }

  /**
   * Counts a change of a job's live key that this leader did not make by ending the job. Jobs
   * that this node itself accepted are counted as well.
   */
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
