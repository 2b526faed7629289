/** Backoff of a job whose tasks fail on one machine after another. */
import type { Duration, Instant } from '@tealdock/wire';

/** From this many consecutive failures on, the job is taken to be at fault, not its machines. */
const JOB_FAULT_FAILURE_COUNT = 3;
/** The first backoff; each further failure doubles it. */
const FIRST_BACKOFF_MS: Duration = 1000;
const MAX_BACKOFF_MS: Duration = 60_000;

/** Counts a job's consecutive failures. From the third on, each starts a placement backoff. */
export class FailureBackoff {
  private consecutiveFailureCount = 0;
  private until: Instant = 0;

  /** True while the job itself, not a machine, is taken to cause the failures of its tasks. */
  get isJobAtFault(): boolean {
    return this.consecutiveFailureCount >= JOB_FAULT_FAILURE_COUNT;
  }

  /** True while no task of the job may be placed. */
  isActive(now: Instant): boolean {
    return this.until > now;
  }

  /** Records that a task of the job failed. */
  recordFailure(now: Instant): void {
    this.consecutiveFailureCount++;
    if (!this.isJobAtFault) return;
    const doublings = this.consecutiveFailureCount - JOB_FAULT_FAILURE_COUNT;
    this.until = now + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
  }

  /** Records a completed task, which resets the count but does not end the current backoff. */
  recordSuccess(): void {
    this.consecutiveFailureCount = 0;
  }
}
