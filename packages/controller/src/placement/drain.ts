/** Tasks on machines that the cloud is about to take. */
import type { Binding } from '../jobs/binding.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';

/** Stops tasks that can save before their machine is taken. */
export class Drain {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
  ) {}

  run(): void {
    for (const machine of this.term.machines.values()) {
      if (machine.heartbeats.preemptionDeadline === null) continue;
      for (const b of machine.bindings.values()) this.stopInTime(machine, b);
    }
  }

  /** Saves while there is time; a task that can't save runs on if it may still finish. */
  private stopInTime(machine: Machine, b: Binding): void {
    const job = this.term.jobs.get(b.job);
    if (!job || b.stopRequest || !b.isObserved) return;
    const ran = this.runtime.now - (b.runningSince ?? this.runtime.now);
    const ratio = this.term.runTimeRatios.ratioOf(job.spec.jobClass);
    const left = job.spec.estimate * ratio - ran;
    const notice = (machine.heartbeats.preemptionDeadline ?? Infinity) - this.runtime.now;
    if (b.taskState === 'running' && left < notice) return;
    this.term.bindings.requestStop(b, { gracePeriod: job.spec.save, reason: 'notice' });
  }
}
