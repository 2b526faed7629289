/** Records outcomes of tasks: machines that fail are quarantined, jobs that fail back off. */
import type { TaskStatus } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';

/** The one place that decides whether an outcome counts against a machine or against a job. */
export class FailureRecorder {
  constructor(private readonly runtime: Runtime) {}

  /** A task completed; `job` is undefined if this term does not want the task. */
  recordCompletion(machine: Machine, job: LiveJob | undefined): void {
    machine.health.recordTaskSuccess();
    job?.backoff.recordSuccess();
  }

  /**
   * A task failed. Usually the machine is at fault, while a faulty job fails on every machine:
   * once a job backs off, its failures no longer count against machines.
   */
  recordFailure(machine: Machine, job: LiveJob | undefined, { task, reason }: TaskStatus): void {
    this.runtime.log('info', { machine: machine.id, task, reason }, 'task failed');
    const isMachineAtFault = reason === 'error' && !job?.backoff.isJobAtFault;
    machine.health.recordTaskFailure(isMachineAtFault, this.runtime.now);
    job?.backoff.recordFailure(this.runtime.now);
  }

  /**
   * A dispatched start never showed up in a heartbeat. Heartbeats may arrive while no answer
   * reaches the machine; it then looks idle and would attract one start after the other.
   */
  recordLostStart(machine: Machine): void {
    const quarantineMs = machine.health.recordLostStart(this.runtime.now);
    const lostStarts = machine.health.consecutiveLostStartCount;
    this.runtime.log('info', { machine: machine.id, lostStarts, quarantineMs }, 'start lost');
  }
}
