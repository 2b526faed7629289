/** Quarantine of machines and backoff of jobs after failures. */
import type { Instant, TaskStatus } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';

/** Failures in a row after which a machine is quarantined, and a job backs off. */
const MAX_FAILURE_COUNT = 3;
const MAX_QUARANTINE_MS = 120_000;
/** The first quarantine after a lost start; each one more in a row takes four times as long. */
const LOST_START_QUARANTINE_MS = 3000;
const LOST_START_QUARANTINE_FACTOR = 4;
/** The first backoff of a job; doubled with each further failure. */
const MIN_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 60_000;

/** Decides, from the outcomes of tasks, which machines and jobs get no starts for a while. */
export class Quarantine {
  constructor(private readonly runtime: Runtime) {}

  /** A task completed; `job` is undefined if this term does not want the task. */
  recordCompletion(machine: Machine, job: LiveJob | undefined): void {
    machine.consecutiveFailures = 0;
    if (job) job.consecutiveFailures = 0;
  }

  /**
   * A task failed. Usually the machine is at fault, while a faulty job fails on every machine:
   * from then on its failures no longer count against machines.
   */
  recordFailure(machine: Machine, job: LiveJob | undefined, { task, reason }: TaskStatus): void {
    this.runtime.env.log('info', { machine: machine.id, task, reason }, 'task failed');
    if (reason === 'error' && (job?.consecutiveFailures ?? 0) < MAX_FAILURE_COUNT)
      machine.consecutiveFailures++;
    if (machine.consecutiveFailures >= MAX_FAILURE_COUNT)
      machine.quarantinedUntil = this.runtime.now + MAX_QUARANTINE_MS;
    if (!job) return;
    job.consecutiveFailures++;
    if (job.consecutiveFailures >= MAX_FAILURE_COUNT) job.backoffUntil = this.backoffEnd(job);
  }

  /** A heartbeat shows a task that was dispatched to the machine: answers do reach it. */
  recordObservedTask(machine: Machine): void {
    machine.consecutiveLostStarts = 0;
  }

  /**
   * A dispatched start never showed up in a heartbeat. Heartbeats may arrive while no answer
   * reaches the machine; it then looks idle and would attract one start after the other.
   */
  recordLostStart(machine: Machine): void {
    const quarantineMs = Math.min(
      MAX_QUARANTINE_MS,
      LOST_START_QUARANTINE_MS * LOST_START_QUARANTINE_FACTOR ** machine.consecutiveLostStarts++,
    );
    machine.quarantinedUntil = Math.max(machine.quarantinedUntil, this.runtime.now + quarantineMs);
    const lostStarts = machine.consecutiveLostStarts;
    this.runtime.env.log('info', { machine: machine.id, lostStarts, quarantineMs }, 'start lost');
  }

  private backoffEnd(job: LiveJob): Instant {
    const doublings = job.consecutiveFailures - MAX_FAILURE_COUNT;
    return this.runtime.now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** doublings);
  }
}
