/** Records task outcomes, which lead to quarantine of machines and backoff of jobs. */
import type { TaskStatus } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';

/** Decides whether a task's outcome counts against its machine, its job or both. */
export class FailureRecorder {
  constructor(private readonly runtime: Runtime) {}

  /** Records a completed task; `job` is undefined if no live job of this term needs the task. */
  recordCompletion(machine: Machine, job: LiveJob | undefined): void {
    machine.health.recordTaskSuccess();
    job?.backoff.recordSuccess();
  }

  /**
   * Records a failed task; `job` is undefined if no live job of this term needs the task. A failure
   * with reason `error` counts against the machine until the job itself is taken to be at fault,
   * since a faulty job fails on every machine.
   */
  recordFailure(machine: Machine, job: LiveJob | undefined, { task, reason }: TaskStatus): void {
    this.runtime.log('info', { machine: machine.id, task, reason }, 'task failed');
    const isMachineAtFault = reason === 'error' && !job?.backoff.isJobAtFault;
    machine.health.recordTaskFailure(isMachineAtFault, this.runtime.now);
    job?.backoff.recordFailure(this.runtime.now);
  }

  /**
   * Records a dispatched start whose task is missing from a later heartbeat. A machine whose
   * heartbeats arrive but which receives no responses looks idle and would otherwise be given one
   * start after another.
   */
  recordLostStart(machine: Machine): void {
    const quarantineMs = machine.health.recordLostStart(this.runtime.now);
    const lostStarts = machine.health.consecutiveLostStartCount;
    this.runtime.log('info', { machine: machine.id, lostStarts, quarantineMs }, 'start lost');
  }
}
