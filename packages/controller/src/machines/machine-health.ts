/** Failures of one machine, and its quarantine. */
import type { Duration, Instant } from '@tealdock/wire';

/** A machine on which so many tasks in a row failed is quarantined. */
const MAX_FAILURE_COUNT = 3;
const QUARANTINE_MS: Duration = 120_000;
/** The first quarantine for a lost start; each further lost start in a row multiplies it. */
const LOST_START_QUARANTINE_MS: Duration = 3000;
const LOST_START_QUARANTINE_FACTOR = 4;

/** A quarantined machine gets no new tasks. */
export class MachineHealth {
  private consecutiveFailureCount = 0;
  private lostStartCount = 0;
  private quarantinedUntil: Instant = 0;

  /** Dispatched starts in a row that never showed up: responses seem not to reach the worker. */
  get consecutiveLostStartCount(): number {
    return this.lostStartCount;
  }

  isQuarantined(now: Instant): boolean {
    return this.quarantinedUntil > now;
  }

  /** A task failed; `isMachineAtFault` is false for a job that fails on every machine. */
  recordTaskFailure(isMachineAtFault: boolean, now: Instant): void {
    if (isMachineAtFault) this.consecutiveFailureCount++;
    if (this.consecutiveFailureCount >= MAX_FAILURE_COUNT) {
      this.quarantinedUntil = now + QUARANTINE_MS;
    }
  }

  /** A task completed. A quarantine that has begun goes on. */
  recordTaskSuccess(): void {
    this.consecutiveFailureCount = 0;
  }

  /** A heartbeat shows a new task or a new state of one. */
  recordTaskObserved(): void {
    this.lostStartCount = 0;
  }

  /** A dispatched start did not show up. Returns the length of the quarantine for it. */
  recordLostStart(now: Instant): Duration {
    const quarantine = Math.min(
      QUARANTINE_MS,
      LOST_START_QUARANTINE_MS * LOST_START_QUARANTINE_FACTOR ** this.lostStartCount++,
    );
    this.quarantinedUntil = Math.max(this.quarantinedUntil, now + quarantine);
    return quarantine;
  }
}
