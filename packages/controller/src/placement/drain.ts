/** Draining of machines that the cloud is about to reclaim. */
import type { Instant } from '@tealdock/wire';
import type { Binding } from '../jobs/binding.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';

/** Stops tasks so that they save their state before the cloud reclaims their machine. */
export class Drain {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
  ) {}

  /** On machines with a preemption notice, stops tasks that are not expected to end in time. */
  run(): void {
    for (const machine of this.term.machines.values()) {
      const { preemptionDeadline } = machine.heartbeats;
      if (preemptionDeadline !== null) this.drain(machine, preemptionDeadline);
    }
  }

  private drain(machine: Machine, preemptionDeadline: Instant): void {
    for (const binding of machine.bindings.values()) {
      const job = this.term.jobs.get(binding.job);
      if (!job || binding.stopRequest || !binding.isObserved) continue;
      if (this.mayFinish(binding, job, preemptionDeadline)) continue;
      const gracePeriod = job.spec.save;
      this.term.bindings.requestStop(binding, { gracePeriod, reason: 'notice' });
    }
  }

  /** Whether the task is running and expected to end before the machine is reclaimed. */
  private mayFinish(binding: Binding, job: LiveJob, preemptionDeadline: Instant): boolean {
    if (binding.taskState !== 'running') return false;
    const { now } = this.runtime;
    const elapsed = now - (binding.runningSince ?? now);
    const ratio = this.term.runTimeRatios.ratioOf(job.spec.jobClass);
    return job.spec.estimate * ratio - elapsed < preemptionDeadline - now;
  }
}
