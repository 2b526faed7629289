/** Outcomes of tasks, as they count for the health of machines and for the backoff of jobs. */
import type { TaskStatus } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';

/** Records, from the outcomes of tasks, which machines and jobs get no starts for a while. */
export class Quarantine {
  constructor(private readonly runtime: Runtime) {}

  /** A task completed; `job` is undefined if this term does not want the task. */
  recordCompletion(machine: Machine, job: LiveJob | undefined): void {
    machine.health.recordTaskSuccess();
    job?.backoff.recordSuccess();
  }

  /**
   * A task failed. Usually the machine is at fault, while a faulty job fails on every machine:
   * from then on its failures no longer count against machines.
   */
  recordFailure(machine: Machine, job: LiveJob | undefined, { task, reason }: TaskStatus): void {
    this.runtime.log('info', { machine: machine.id, task, reason }, 'task failed');
    const isMachineAtFault = reason === 'error' && !job?.backoff.isJobAtFault;
    machine.health.recordTaskFailure(isMachineAtFault, this.runtime.now);
    job?.backoff.recordFailure(this.runtime.now);
  }

  /** A heartbeat shows a task that was dispatched to the machine: answers do reach it. */
  recordObservedTask(machine: Machine): void {
    machine.health.recordTaskObserved();
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
