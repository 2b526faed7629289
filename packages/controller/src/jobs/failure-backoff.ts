/** Backoff of a job whose tasks fail on one machine after another. */
import type { Duration, Instant } from '@tealdock/wire';

/** So many failures in a row are taken to be the job's own fault, not its machines'. */
const MAX_FAILURE_COUNT = 3;
/** The first backoff; each failure after it doubles it. */
const FIRST_BACKOFF_MS: Duration = 1000;
const MAX_BACKOFF_MS: Duration = 60_000;

/** Counts a job's failures in a row; from the third on, each puts off its next placement. */
export class FailureBackoff {
  private consecutiveFailureCount = 0;
  private until: Instant = 0;

  /** True once the job is taken to fail on every machine. */
  get isJobAtFault(): boolean {
    return this.consecutiveFailureCount >= MAX_FAILURE_COUNT;
  }

  /** True while no task of the job may be placed. */
  isActive(now: Instant): boolean {
    return this.until > now;
  }

  /** A task of the job failed. */
  recordFailure(now: Instant): void {
    this.consecutiveFailureCount++;
    if (!this.isJobAtFault) return;
    const doublings = this.consecutiveFailureCount - MAX_FAILURE_COUNT;
    this.until = now + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
  }

  /** A task of the job completed. A backoff that has begun goes on. */
  recordSuccess(): void {
    this.consecutiveFailureCount = 0;
  }
}
