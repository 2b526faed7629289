/** Consecutive failures on one machine, and its quarantine. */
import type { Duration, Instant } from '@tealdock/wire';

/** From this many consecutive task failures on, a machine is quarantined. */
const QUARANTINE_FAILURE_COUNT = 3;
const QUARANTINE_MS: Duration = 120_000;
/** First quarantine for a lost start; each further consecutive one multiplies it by the factor. */
const LOST_START_QUARANTINE_MS: Duration = 3000;
const LOST_START_QUARANTINE_FACTOR = 4;

/** Decides on quarantine: a quarantined machine gets no new tasks. */
export class MachineHealth {
  private consecutiveFailureCount = 0;
  private lostStartCount = 0;
  private quarantinedUntil: Instant = 0;

  /**
   * Number of consecutive dispatched starts whose task no heartbeat has shown: responses seem not
   * to reach the worker.
   */
  get consecutiveLostStartCount(): number {
    return this.lostStartCount;
  }

  isQuarantined(now: Instant): boolean {
    return this.quarantinedUntil > now;
  }

  /** Records a failed task; `isMachineAtFault` is false if the job fails on every machine. */
  recordTaskFailure(isMachineAtFault: boolean, now: Instant): void {
    if (isMachineAtFault) this.consecutiveFailureCount++;
    if (this.consecutiveFailureCount >= QUARANTINE_FAILURE_COUNT) {
      this.quarantinedUntil = now + QUARANTINE_MS;
    }
  }

  /** Records a completed task, which resets the count but does not end a quarantine. */
  recordTaskSuccess(): void {
    this.consecutiveFailureCount = 0;
  }

  /** Records that a heartbeat shows a new task or a new state of one. */
  recordTaskObserved(): void {
    this.lostStartCount = 0;
  }

  /** Records that no heartbeat has shown a dispatched start; returns the quarantine for it. */
  recordLostStart(now: Instant): Duration {
    const quarantine = Math.min(
      QUARANTINE_MS,
      LOST_START_QUARANTINE_MS * LOST_START_QUARANTINE_FACTOR ** this.lostStartCount++,
    );
    this.quarantinedUntil = Math.max(this.quarantinedUntil, now + quarantine);
    return quarantine;
  }
}
